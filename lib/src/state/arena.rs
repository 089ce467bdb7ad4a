//! An arena that hands out small `Copy` keys and reuses the slots of removed items.

use std::marker::PhantomData;

/// Items addressed by keys of type `K`.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    free: Vec<u32>,
    key: PhantomData<K>,
    len: usize,
    slots: Vec<Option<T>>,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self {
            free: Vec::new(),
            key: PhantomData,
            len: 0,
            slots: Vec::new(),
        }
    }
}

impl<K: Copy + From<usize> + Into<usize>, T> Arena<K, T> {
    /// Number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of slots, used and free. The index of every key is less than this number.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Adds an item and returns its key.
    pub fn insert(&mut self, item: T) -> K {
        self.len += 1;
        match self.free.pop() {
            Some(index) => {
                self.slots[index as usize] = Some(item);
                K::from(index as usize)
            }
            None => {
                self.slots.push(Some(item));
                K::from(self.slots.len() - 1)
            }
        }
    }

    /// Removes and returns the item of a key. A later item reuses its slot.
    pub fn remove(&mut self, key: K) -> Option<T> {
        let index: usize = key.into();
        let item = self.slots.get_mut(index)?.take()?;
        self.len -= 1;
        self.free.push(index as u32);
        Some(item)
    }

    /// The item of a key, if there is one.
    pub fn get(&self, key: K) -> Option<&T> {
        self.slots.get(key.into())?.as_ref()
    }

    /// The item of a key, mutable, if there is one.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.slots.get_mut(key.into())?.as_mut()
    }

    /// All items, mutable, with their keys, in key order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut T)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(index, slot)| slot.as_mut().map(|item| (K::from(index), item)))
    }

    /// All items with their keys, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, slot)| slot.as_ref().map(|item| (K::from(index), item)))
    }
}

/// The element of a vector at an index. The vector grows as needed, filled with default values.
pub fn slot_or_default<T: Clone + Default>(values: &mut Vec<T>, index: usize) -> &mut T {
    if values.len() <= index {
        values.resize(index + 1, T::default());
    }
    &mut values[index]
}
