//! The demonstration: both deployments run as real processes with traffic through a series of
//! planned and unplanned events. It prints one table for each deployment, and its exit status tells
//! whether the invariants held.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use quetzal_lib::protocol::{fault, status};
use quetzal_lib::state::code;
use quetzal_lib::transport::http_client;

use crate::{caller, deployment, target};

/// Default duration of traffic, in seconds.
pub const DEFAULT_SECONDS: u64 = 45;
/// Longest wait for stand-ins and instances to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for the last flows to end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between samples of the targets.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Options of the demonstration.
#[derive(Clone, Debug)]
pub struct Options {
    /// Directory of settings, sheets and logs; by default a temporary one, which is removed at the
    /// end.
    pub directory: Option<PathBuf>,
    /// Duration of traffic, in seconds.
    pub seconds: u64,
    /// Seed of the load and of the fabric's choice of instances.
    pub seed: u64,
}

fn setup_fault(error: impl std::fmt::Display) -> error_stack::Report<fault::Fault> {
    fault::report(code::Code::FileUnreadable, error.to_string())
}

/// A child process that is killed when the value is dropped.
struct Process(Child);

impl Process {
    fn start(program: &Path, arguments: &[&str], log: &Path) -> io::Result<Self> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map(Self)
    }

    fn signal(&self, signal: Signal) {
        // The process may have exited already.
        let _ = signal::kill(Pid::from_raw(self.0.id() as i32), signal);
    }

    fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.0.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Samples of one service's imbalance.
#[derive(Clone, Debug, Default)]
struct Imbalance {
    /// Busy slots of each target, summed over the samples. A service rarely has more than a few
    /// busy slots at one moment, so a single sample does not show the balance.
    busy: BTreeMap<String, usize>,
    open: f64,
    samples: u32,
}

/// A running deployment.
struct Run {
    deployment: deployment::Deployment,
    directory: PathBuf,
    events: Vec<(String, bool, u64)>,
    imbalance: BTreeMap<String, Imbalance>,
    instances: Vec<Option<Process>>,
    planned_exit_codes: Vec<Option<i32>>,
    _standins: Vec<Process>,
}

/// Runs both deployments in parallel; returns whether the invariants held.
pub fn run(options: &Options) -> fault::Result<bool> {
    let root = options.directory.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("quetzal-demo-{}", std::process::id()))
    });
    let results: Vec<fault::Result<(String, bool)>> = std::thread::scope(|scope| {
        let threads: Vec<_> = [deployment::guild(), deployment::bureau()]
            .into_iter()
            .map(|deployment| {
                let directory = root.join(deployment.name);
                scope.spawn(move || run_one(deployment, directory, options))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| {
                thread
                    .join()
                    .unwrap_or_else(|_| Err(setup_fault("a deployment's thread panicked")))
            })
            .collect()
    });
    let mut held = true;
    for result in results {
        let (table, is_good) = result?;
        println!("{table}");
        held &= is_good;
    }
    if options.directory.is_none() {
        // A directory that cannot be removed does no harm, because it is temporary.
        let _ = std::fs::remove_dir_all(&root);
    }
    println!("invariants: {}", if held { "held" } else { "BROKEN" });
    Ok(held)
}

fn run_one(
    deployment: deployment::Deployment,
    directory: PathBuf,
    options: &Options,
) -> fault::Result<(String, bool)> {
    let mut run = Run::start(deployment, directory, options.seed)?;
    run.wait_ready()?;
    run.run_phases(Duration::from_secs(options.seconds), options.seed)?;
    run.summarize()
}

impl Run {
    fn start(
        deployment: deployment::Deployment,
        directory: PathBuf,
        seed: u64,
    ) -> fault::Result<Self> {
        std::fs::create_dir_all(&directory).map_err(setup_fault)?;
        let program = std::env::current_exe().map_err(setup_fault)?;
        let mut standins = Vec::new();
        let platform = deployment.platform().to_string();
        let log = directory.join("standins.log");
        standins
            .push(Process::start(&program, &["platform", &platform], &log).map_err(setup_fault)?);
        let configurations = [
            ("fabric", serde_json::to_string(&deployment.fabric(seed))),
            ("target", serde_json::to_string(&deployment.targets())),
        ];
        for (kind, text) in configurations {
            standins.push(start_standin(
                &program,
                &directory,
                kind,
                &text.map_err(setup_fault)?,
            )?);
        }
        let mut run = Self {
            instances: (0..deployment.instances).map(|_| None).collect(),
            deployment,
            directory,
            events: Vec::new(),
            imbalance: BTreeMap::new(),
            planned_exit_codes: Vec::new(),
            _standins: standins,
        };
        run.wait_for_standins()?;
        run.publish(1, deployment::Change::default())?;
        for instance in 0..run.deployment.instances {
            run.start_instance(instance)?;
        }
        Ok(run)
    }

    fn wait_for_standins(&self) -> fault::Result<()> {
        let pages = [
            self.deployment.platform(),
            self.deployment.fabric_admin(),
            self.deployment.target_admin(),
        ];
        let end = Instant::now() + READY_TIMEOUT;
        for page in pages {
            while std::net::TcpStream::connect(page).is_err() {
                if Instant::now() > end {
                    return Err(setup_fault(format!(
                        "stand-in at {page} did not start in time"
                    )));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    fn publish(&self, revision: u64, change: deployment::Change) -> fault::Result<()> {
        let directory = self.directory.join(format!("sheet-{revision}"));
        std::fs::create_dir_all(&directory).map_err(setup_fault)?;
        for (name, text) in self.deployment.sheet(change) {
            std::fs::write(directory.join(name), text).map_err(setup_fault)?;
        }
        let path = format!(
            "/publish?directory={}&revision={revision}",
            directory.to_string_lossy()
        );
        http_client::get(self.deployment.platform(), &path).map(drop)
    }

    fn start_instance(&mut self, instance: usize) -> fault::Result<()> {
        let program = std::env::current_exe()
            .map_err(setup_fault)?
            .with_file_name("quetzald");
        let settings = self.directory.join(format!("instance-{instance}.ini"));
        std::fs::write(&settings, self.deployment.settings(instance)).map_err(setup_fault)?;
        let log = self.directory.join(format!("instance-{instance}.log"));
        let arguments = ["--settings", &settings.to_string_lossy()];
        let process = Process::start(&program, &arguments, &log).map_err(setup_fault)?;
        self.instances[instance] = Some(process);
        Ok(())
    }

    fn status(&self, instance: usize) -> Option<status::Status> {
        http_client::get_json(self.deployment.status(instance), "/status").ok()
    }

    fn wait_ready(&self) -> fault::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let ready = (0..self.deployment.instances)
                .filter_map(|instance| self.status(instance))
                .filter(|status| status.ready && status.settled)
                .count();
            if ready == self.deployment.instances {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(setup_fault(format!(
                    "{}: only {ready} instances ready in time",
                    self.deployment.name
                )));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Runs traffic through all phases, each of which begins with an event.
    fn run_phases(&mut self, duration: Duration, seed: u64) -> fault::Result<()> {
        let program = std::env::current_exe().map_err(setup_fault)?;
        let text = serde_json::to_string(&self.deployment.callers(seed)).map_err(setup_fault)?;
        self._standins
            .push(start_standin(&program, &self.directory, "caller", &text)?);
        let admin_page = self.deployment.caller_admin();
        while std::net::TcpStream::connect(admin_page).is_err() {
            std::thread::sleep(Duration::from_millis(20));
        }
        let killed = 1;
        let stopped = self.deployment.instances - 1;
        let cut_zone = self.deployment.zones.len() - 1;
        self.run_phase("steady", true, duration * 15 / 100);
        self.instances[killed] = None;
        self.run_phase("instance killed", false, duration * 15 / 100);
        self.start_instance(killed)?;
        self.run_phase("instance joins", true, duration * 10 / 100);
        let change = deployment::Change {
            add_spare: true,
            drain_first: true,
        };
        self.publish(2, change)?;
        self.run_phase("sheet: one drains, one joins", true, duration * 20 / 100);
        self.stop_instance(stopped);
        self.run_phase("planned stop", true, duration * 10 / 100);
        self.start_instance(stopped)?;
        self.run_phase("instance joins", true, duration * 10 / 100);
        http_client::get(self.deployment.fabric_admin(), &format!("/?cut={cut_zone}"))?;
        self.run_phase("zone cut", false, duration * 7 / 100);
        http_client::get(
            self.deployment.fabric_admin(),
            &format!("/?heal={cut_zone}"),
        )?;
        http_client::get(self.deployment.platform(), "/fault?down=1")?;
        self.run_phase("zone healed, platform down", false, duration * 13 / 100);
        http_client::get(admin_page, "/stop")?;
        self.drain();
        Ok(())
    }

    fn stop_instance(&mut self, instance: usize) {
        if let Some(process) = &mut self.instances[instance] {
            process.signal(Signal::SIGTERM);
            let code = process.wait(Duration::from_secs(15));
            self.planned_exit_codes.push(code);
        }
        self.instances[instance] = None;
    }

    fn callers(&self) -> caller::Report {
        http_client::get_json(self.deployment.caller_admin(), "/").unwrap_or_default()
    }

    fn targets(&self) -> BTreeMap<String, target::Report> {
        http_client::get_json(self.deployment.target_admin(), "/").unwrap_or_default()
    }

    /// Lets traffic run for a time and records how many flows broke meanwhile.
    fn run_phase(&mut self, name: &str, planned: bool, duration: Duration) {
        let before = broken_flows(&self.callers());
        let end = Instant::now() + duration;
        while Instant::now() < end {
            std::thread::sleep(SAMPLE_INTERVAL);
            self.sample();
        }
        let after = broken_flows(&self.callers());
        self.events.push((name.to_owned(), planned, after - before));
    }

    fn sample(&mut self) {
        let mut services: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (name, report) in self.targets() {
            if !name.ends_with("spare") {
                let imbalance = self.imbalance.entry(report.service.clone()).or_default();
                *imbalance.busy.entry(name).or_default() += report.busy;
                services
                    .entry(report.service)
                    .or_default()
                    .push(report.open);
            }
        }
        for (service, open) in services {
            let imbalance = self.imbalance.entry(service).or_default();
            if let Some(ratio) = max_over_mean(open.iter().copied()) {
                imbalance.open += ratio;
                imbalance.samples += 1;
            }
        }
    }

    fn drain(&mut self) {
        let before = broken_flows(&self.callers());
        let end = Instant::now() + DRAIN_TIMEOUT;
        while Instant::now() < end && self.callers().open > 0 {
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        let after = broken_flows(&self.callers());
        self.events
            .push(("last flows end".to_owned(), false, after - before));
    }

    /// Returns the table and whether the invariants held.
    fn summarize(self) -> fault::Result<(String, bool)> {
        let callers = self.callers();
        let mut ran: BTreeMap<u64, u32> = BTreeMap::new();
        for report in self.targets().values() {
            for (id, times) in &report.ran {
                *ran.entry(*id).or_default() += times;
            }
        }
        let run_twice = ran.values().filter(|times| **times > 1).count();
        let refused_but_run = callers
            .refused_posts
            .iter()
            .filter(|id| ran.contains_key(id))
            .count();
        let unconfirmed_run = callers
            .confirmed
            .iter()
            .filter(|id| !ran.contains_key(id))
            .count();
        let planned_broken: u64 = self
            .events
            .iter()
            .filter(|event| event.1)
            .map(|event| event.2)
            .sum();
        let planned_stops_good = self.planned_exit_codes.iter().all(|code| *code == Some(0));
        let held = callers.wrong_service == 0
            && run_twice == 0
            && refused_but_run == 0
            && unconfirmed_run == 0
            && planned_broken == 0
            && planned_stops_good
            && callers.started > 0;
        let mut rows = vec![
            ("flows started".to_owned(), callers.started.to_string()),
            ("flows completed".to_owned(), callers.completed.to_string()),
            ("flows refused".to_owned(), callers.refused.to_string()),
            ("flows still open".to_owned(), callers.open.to_string()),
            (
                "broken flows".to_owned(),
                broken_flows(&callers).to_string(),
            ),
        ];
        for (cause, count) in &callers.broken {
            rows.push((format!("  {cause}"), count.to_string()));
        }
        for (name, planned, count) in &self.events {
            let kind = if *planned { "planned" } else { "unplanned" };
            rows.push((format!("  while: {name} ({kind})"), count.to_string()));
        }
        rows.push((
            "wrong-service answers".to_owned(),
            callers.wrong_service.to_string(),
        ));
        rows.push(("requests run twice".to_owned(), run_twice.to_string()));
        rows.push(("refused but run".to_owned(), refused_but_run.to_string()));
        rows.push((
            "confirmed but not run".to_owned(),
            unconfirmed_run.to_string(),
        ));
        rows.push((
            "planned stops' exit statuses".to_owned(),
            format!("{:?}", self.planned_exit_codes),
        ));
        for (service, imbalance) in &self.imbalance {
            let open = imbalance.open / f64::from(imbalance.samples.max(1));
            let busy = max_over_mean(imbalance.busy.values().copied()).unwrap_or(1.0);
            rows.push((
                format!("imbalance of {service}, open flows"),
                format!("{open:.2}"),
            ));
            rows.push((
                format!("imbalance of {service}, busy slots"),
                format!("{busy:.2}"),
            ));
        }
        self.instance_rows(&mut rows);
        Ok((table(self.deployment.name, &rows), held))
    }

    fn instance_rows(&self, rows: &mut Vec<(String, String)>) {
        for instance in 0..self.deployment.instances {
            let Some(status) = self.status(instance) else {
                rows.push((format!("instance {instance}"), "unreachable".to_owned()));
                continue;
            };
            let counter = |name: &str| status.counters.get(name).copied().unwrap_or(0);
            let received = counter("packets_received").max(1);
            let relayed = counter("packets_relayed") * 100 / received;
            let bytes = counter("control_bytes_sent") / status.uptime_seconds.max(1);
            let drops: u64 = status
                .counters
                .iter()
                .filter(|(name, _)| name.starts_with("drop_"))
                .map(|(_, value)| value)
                .sum();
            rows.push((
                format!("instance {instance}"),
                format!(
                    "revision {}, relayed {relayed}%, control {bytes} B/s, entries {}, drops {drops}",
                    status.revision, status.entries
                ),
            ));
        }
    }
}

fn start_standin(
    program: &Path,
    directory: &Path,
    kind: &str,
    text: &str,
) -> fault::Result<Process> {
    let file = directory.join(format!("{kind}.json"));
    std::fs::write(&file, text).map_err(setup_fault)?;
    let log = directory.join("standins.log");
    Process::start(program, &[kind, &file.to_string_lossy()], &log).map_err(setup_fault)
}

fn broken_flows(report: &caller::Report) -> u64 {
    report.broken.values().sum()
}

/// Ratio of the largest load to the mean; none if all loads are zero.
fn max_over_mean(loads: impl Iterator<Item = usize>) -> Option<f64> {
    let loads: Vec<usize> = loads.collect();
    let sum: usize = loads.iter().sum();
    let max = loads.iter().max().copied().unwrap_or(0);
    (sum > 0).then(|| max as f64 * loads.len() as f64 / sum as f64)
}

fn table(title: &str, rows: &[(String, String)]) -> String {
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let mut text = format!("== {title}\n");
    for (name, value) in rows {
        text.push_str(&format!("{name:width$}  {value}\n"));
    }
    text
}
