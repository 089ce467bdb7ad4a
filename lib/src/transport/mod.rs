//! Bytes in and out.
