//! A small test site: real instances as processes and stand-ins as threads.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use quetzal_lib::protocol::status;
use quetzal_lib::transport::http_client;
use quetzal_standin::{caller, deployment, fabric, platform, target};

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Lets sites run only one at a time, because an overloaded machine would look like a failure.
static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Waits until no other site is running.
pub fn lock_sites() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running site.
pub struct Site {
    _lock: MutexGuard<'static, ()>,
    /// Source of addresses, sheets and settings.
    pub deployment: deployment::Deployment,
    directory: PathBuf,
    instances: Vec<Option<Child>>,
}

impl Site {
    /// Starts a site on its own block of addresses and waits until its callers have begun flows.
    pub fn start(block: u8) -> Self {
        let lock = lock_sites();
        let mut deployment = deployment::bureau();
        for service in &mut deployment.services {
            service.load.feed_millis = 2_000;
        }
        deployment.move_to(block);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("site-{block}"));
        std::fs::create_dir_all(&directory).expect("a directory for the test");
        platform::start(deployment.platform()).expect("the platform starts");
        let (map, targets) = (deployment.fabric(7), deployment.targets());
        std::thread::spawn(move || fabric::run(map).expect("the fabric runs"));
        std::thread::spawn(move || target::run(&targets).expect("the targets run"));
        let instances = (0..deployment.instances).map(|_| None).collect();
        let mut site = Self {
            _lock: lock,
            deployment,
            directory,
            instances,
        };
        site.publish(1, deployment::Change::default());
        for instance in 0..site.instances.len() {
            site.start_instance(instance);
        }
        site.wait_until("all ready", |site| {
            site.ready_count() == site.instances.len()
        });
        let callers = site.deployment.callers(7);
        std::thread::spawn(move || caller::run(callers).expect("the callers run"));
        site.wait_until("callers", |site| site.caller_report().started > 20);
        site
    }

    /// Publishes a sheet.
    pub fn publish(&self, revision: u64, change: deployment::Change) {
        let directory = self.directory.join(format!("sheet-{revision}"));
        std::fs::create_dir_all(&directory).expect("a directory for the test");
        for (name, text) in self.deployment.sheet(change) {
            std::fs::write(directory.join(name), text).expect("a file for the test");
        }
        let path = format!(
            "/publish?directory={}&revision={revision}",
            directory.to_string_lossy()
        );
        http_client::get(self.deployment.platform(), &path).expect("the platform answers");
    }

    /// Makes the platform fail as the query says.
    pub fn inject_platform_fault(&self, query: &str) {
        let path = format!("/fault?{query}");
        http_client::get(self.deployment.platform(), &path).expect("the platform answers");
    }

    /// Starts an instance.
    pub fn start_instance(&mut self, instance: usize) {
        let settings = self.directory.join(format!("instance-{instance}.ini"));
        std::fs::write(&settings, self.deployment.settings(instance)).expect("a settings file");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("instance-{instance}.log")))
            .expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_quetzald"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        self.instances[instance] = Some(child);
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, instance: usize, signal: Signal) {
        if let Some(child) = &self.instances[instance] {
            signal::kill(Pid::from_raw(child.id() as i32), signal).expect("the process is there");
        }
    }

    /// Kills an instance.
    pub fn kill(&mut self, instance: usize) {
        if let Some(mut child) = self.instances[instance].take() {
            child.kill().expect("the process is there");
            child.wait().expect("the process ends");
        }
    }

    /// Waits for an instance to exit by itself and returns its exit status. `None` if it does not
    /// exit in time or is ended by a signal.
    pub fn wait_exit(&mut self, instance: usize) -> Option<i32> {
        let mut child = self.instances[instance].take()?;
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        child.kill().expect("the process is there");
        None
    }

    /// Waits for a condition.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !condition(self) {
            assert!(
                Instant::now() < end,
                "timed out waiting for: {what}; {}",
                self.describe()
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Status of each instance, for the message of a failed wait.
    fn describe(&self) -> String {
        (0..self.instances.len())
            .map(|instance| match self.status(instance) {
                Some(status) => format!(
                    "\ninstance {instance}: {:?}, settled {}, revision {}, entries {}, peers {:?}",
                    status.phase, status.settled, status.revision, status.entries, status.peers
                ),
                None => format!("\ninstance {instance}: no answer"),
            })
            .collect()
    }

    /// Status of an instance; `None` if it does not respond.
    pub fn status(&self, instance: usize) -> Option<status::Status> {
        self.instances[instance].as_ref()?;
        http_client::get_json(self.deployment.status(instance), "/status").ok()
    }

    /// Number of instances that are ready and settled.
    pub fn ready_count(&self) -> usize {
        (0..self.instances.len())
            .filter_map(|instance| self.status(instance))
            .filter(|status| status.ready && status.settled)
            .count()
    }

    /// Report of the callers on the flows so far.
    pub fn caller_report(&self) -> caller::Report {
        http_client::get_json(self.deployment.caller_admin(), "/").unwrap_or_default()
    }

    /// Stops the load and checks that no flow reached a wrong service, that confirmed POSTs ran
    /// once and refused ones never, and that no request ran twice. Returns the number of broken
    /// flows.
    pub fn stop_load_and_check(&self) -> u64 {
        http_client::get(self.deployment.caller_admin(), "/stop").expect("the callers answer");
        self.wait_until("end of the flows", |site| site.caller_report().open == 0);
        let callers = self.caller_report();
        let targets: std::collections::BTreeMap<String, target::Report> =
            http_client::get_json(self.deployment.target_admin(), "/").expect("the targets answer");
        let runs = |id: &u64| -> u32 {
            targets
                .values()
                .filter_map(|report| report.ran.get(id))
                .sum()
        };
        assert_eq!(callers.wrong_service, 0);
        assert!(
            callers.confirmed.iter().all(|id| runs(id) == 1),
            "a confirmed POST did not run exactly once"
        );
        assert!(
            callers.refused_posts.iter().all(|id| runs(id) == 0),
            "a refused POST ran"
        );
        let twice = targets
            .values()
            .flat_map(|report| report.ran.keys())
            .filter(|id| runs(id) > 1)
            .count();
        assert_eq!(twice, 0, "requests ran more than once");
        println!("broken flows: {:?}", callers.broken);
        for failure in &callers.failures {
            let named = |condition: &dyn Fn(&target::Report) -> bool| -> Vec<&String> {
                let found = targets.iter().filter(|(_, report)| condition(report));
                found.map(|(name, _)| name).collect()
            };
            let by = named(&|report| report.resets.contains(&failure.caller));
            let ran = named(&|report| report.ran.contains_key(&failure.id));
            println!("{failure:?}, reset by {by:?}, ran on {ran:?}");
        }
        callers.broken.values().sum()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for instance in 0..self.instances.len() {
            if let Some(child) = &mut self.instances[instance] {
                // SIGKILL also ends a suspended process.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
