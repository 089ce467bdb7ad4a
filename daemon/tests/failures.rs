//! Failure tests with real processes: killed and suspended processes, platform outages, racing
//! operators and graceful shutdowns.

use std::time::Duration;

use nix::sys::signal::Signal;
use quetzal_standin::deployment;

use crate::site;

#[test]
fn a_killed_and_restarted_instance_breaks_no_flow() {
    let mut site = site::Site::start(51);
    site.kill(1);
    std::thread::sleep(Duration::from_secs(3));
    site.start_instance(1);
    site.wait_until("all ready", |site| site.ready_count() == 4);
    assert_eq!(site.stop_load_and_check(), 0);
}

#[test]
fn a_suspended_instance_resumes_and_breaks_no_flow() {
    let site = site::Site::start(52);
    site.signal(2, Signal::SIGSTOP);
    std::thread::sleep(Duration::from_secs(1));
    let change = deployment::Change {
        add_spare: true,
        drain_first: true,
    };
    site.publish(2, change);
    std::thread::sleep(Duration::from_secs(3));
    site.signal(2, Signal::SIGCONT);
    site.wait_until("all ready", |site| site.ready_count() == 4);
    site.wait_until("the sheet everywhere", |site| {
        (0..4).all(|instance| {
            site.status(instance)
                .is_some_and(|status| status.revision == 2)
        })
    });
    assert_eq!(site.stop_load_and_check(), 0);
}

#[test]
fn a_new_instance_gets_the_sheet_from_its_peers_while_the_platform_is_down() {
    let mut site = site::Site::start(53);
    site.inject_platform_fault("down=1");
    site.kill(0);
    std::thread::sleep(Duration::from_secs(2));
    site.start_instance(0);
    site.wait_until("all ready", |site| site.ready_count() == 4);
    assert_eq!(site.status(0).map(|status| status.revision), Some(1));
    assert_eq!(site.stop_load_and_check(), 0);
}

#[test]
fn racing_operators_and_a_stale_platform_never_revert_a_sheet() {
    let site = site::Site::start(54);
    let change = deployment::Change {
        add_spare: true,
        drain_first: false,
    };
    site.publish(5, change);
    site.publish(4, deployment::Change::default());
    site.publish(
        6,
        deployment::Change {
            add_spare: true,
            drain_first: true,
        },
    );
    site.wait_until("the newest sheet everywhere", |site| {
        (0..4).all(|instance| {
            site.status(instance)
                .is_some_and(|status| status.revision == 6)
        })
    });
    site.inject_platform_fault("stale=1");
    std::thread::sleep(Duration::from_secs(3));
    for instance in 0..4 {
        assert_eq!(site.status(instance).map(|status| status.revision), Some(6));
    }
    assert_eq!(site.stop_load_and_check(), 0);
}

#[test]
fn a_planned_stop_exits_with_zero_and_breaks_no_flow() {
    let mut site = site::Site::start(55);
    for instance in [3, 0] {
        site.signal(instance, Signal::SIGTERM);
        assert_eq!(site.wait_exit(instance), Some(0));
        site.start_instance(instance);
        site.wait_until("all ready", |site| site.ready_count() == 4);
    }
    assert_eq!(site.stop_load_and_check(), 0);
}
