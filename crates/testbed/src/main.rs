//! The command line of the testbed; see `poppykeel-testbed --help`.

#![expect(
    clippy::doc_markdown,
    clippy::min_ident_chars,
    clippy::redundant_closure_for_method_calls,
    reason = "not yet converted"
)]

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use poppykeel_testbed::emulator::description::BudgetDivision;
use poppykeel_testbed::emulator::description::RunDescription as Description;
use poppykeel_testbed::emulator::policies::Policy;
use poppykeel_testbed::emulator::Simulation;
use poppykeel_testbed::experiment::table::{render_comparison, render_table};
use poppykeel_testbed::experiment::{runner, Experiment, Metric, ResultsFolder, RunResult};
use poppykeel_testbed::fault_injection::{
    run_budget_scenario, run_lease_scenario, run_rolling_restart_scenario, BudgetScenario,
    FleetBudget, FleetShape, InjectedFault, InjectedFaultKind, LeaseScenario,
    RollingRestartScenario,
};
use poppykeel_testbed::sockets;
use poppykeel_testbed::view;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "poppykeel-testbed",
    version,
    about = "Evaluates designs on an emulated fleet, and tests nodes on loopback sockets"
)]
struct TestbedCli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the missing runs of an experiment and show its tables
    Run(Run),
    /// Show tables of results
    Table(Table),
    /// Compare two sets of results, paired by seed; * marks changes whose 95% confidence interval excludes 0
    Compare(Compare),
    /// Write an HTML report of results with charts
    Report(Report),
    /// Start model servers, discovery and nodes on loopback for manual tests; Ctrl-C stops everything
    Up(UpCommand),
    /// Run an experiment on loopback sockets instead of the emulator and show its tables
    Load(Load),
    /// Show an emulated run, or a running node from its log, on the terminal
    View(View),
    /// Start several nodes and inject faults; the exit code is 1 if a guarantee was violated
    Break(Break),
    /// Check an experiment file and list its points
    Check {
        /// The experiment file, in TOML
        file: PathBuf,
    },
}

#[derive(Args)]
struct Break {
    #[command(subcommand)]
    what: Breaks,
}

#[derive(Subcommand)]
enum Breaks {
    /// Leases: a task never has two holders, and soon has a holder again after a fault
    Leases(BreakLeases),
    /// Rolling restart: never more nodes are out at once than allowed, and all are ready at the end
    Roll(BreakRoll),
    /// Budgets: all nodes together never exceed the fleet's budgets, as counted by the model servers
    Budgets(BreakBudgets),
}

#[derive(Args)]
struct BreakBudgets {
    /// Number of nodes
    #[arg(long, default_value_t = 9)]
    nodes: usize,
    /// Number of faults, injected one after the other
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// Seed from which all faults are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Retry budget of the whole fleet: retries per second
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Retry budget of the whole fleet: retries at once
    #[arg(long, default_value_t = 20.0)]
    burst: f64,
    /// How the budgets are divided between the nodes
    #[arg(long, value_enum, default_value_t = BudgetDivision::Shares)]
    division: BudgetDivision,
    /// Load of the first node as a multiple of the load of each other node
    #[arg(long, default_value_t = 1.0)]
    hot: f64,
    /// Number of zones
    #[arg(long, default_value_t = 2)]
    zones: usize,
    /// Draw only faults of these kinds; default: all kinds
    #[arg(long, value_enum, value_delimiter = ',')]
    only: Vec<InjectedFaultKind>,
    /// The node's program; default: this program
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Output folder for configurations, disks, logs and the history
    #[arg(
        long,
        value_name = "FOLDER",
        default_value = "target/lab/break-budgets"
    )]
    out: PathBuf,
}

impl Breaks {
    fn run(&self) -> Result<bool, String> {
        match self {
            Breaks::Leases(leases) => leases.run(),
            Breaks::Roll(roll) => roll.run(),
            Breaks::Budgets(budgets) => budgets.run(),
        }
    }
}

#[derive(Args)]
struct BreakRoll {
    /// Number of nodes
    #[arg(long, default_value_t = 9)]
    nodes: usize,
    /// Maximum number of nodes that may be out at once
    #[arg(long, default_value_t = 2)]
    most: usize,
    /// Maximum number of faults injected into the coordinator
    #[arg(long, default_value_t = 3)]
    faults: usize,
    /// Seed from which all faults are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The node's program; default: this program
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Output folder for configurations, disks, logs and the history
    #[arg(long, value_name = "FOLDER", default_value = "target/lab/break-roll")]
    out: PathBuf,
}

#[derive(Args)]
struct BreakLeases {
    /// Number of nodes
    #[arg(long, default_value_t = 9)]
    nodes: usize,
    /// Number of lease servers (keepers), which are the first nodes: 1, 3, 5 or 7
    #[arg(long, default_value_t = 3)]
    keepers: usize,
    /// Number of faults, injected one after the other
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// Seed from which all faults are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of leases, in milliseconds
    #[arg(long, default_value_t = 1000)]
    lease_ms: u64,
    /// Clock drift that the nodes are configured to tolerate, in parts per million
    #[arg(long, default_value_t = 50_000)]
    drift: u32,
    /// Maximum rate error of the nodes' clocks, in parts per million
    #[arg(long, default_value_t = 50_000)]
    skew: u32,
    /// Draw only faults of these kinds; default: all kinds
    #[arg(long, value_enum, value_delimiter = ',')]
    only: Vec<InjectedFaultKind>,
    /// Faults to inject in order instead of drawn ones, in TOML ([[fault]] with kind, for_ms, whom and size)
    #[arg(long, value_name = "FILE")]
    script: Option<PathBuf>,
    /// The node's program; default: this program
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Output folder for configurations, disks, logs and the history
    #[arg(long, value_name = "FOLDER", default_value = "target/lab/break-leases")]
    out: PathBuf,
}

#[derive(Args)]
struct Run {
    /// The experiment file, in TOML
    file: PathBuf,
    /// Output folder for results; default: target/lab/NAME, with the experiment's name
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// Number of parallel runs; default: one per core
    #[arg(long, value_name = "COUNT")]
    threads: Option<usize>,
    /// Repeat runs that already have results
    #[arg(long)]
    again: bool,
    /// Write a trace of all requests next to each result, as compressed JSON lines
    #[arg(long)]
    trace: bool,
    #[command(flatten)]
    figures: Figures,
}

#[derive(Args)]
struct Figures {
    /// Metrics to show, one table each
    #[arg(long = "figure", value_enum, default_values_t = [Metric::Worth, Metric::FirstP99])]
    figures: Vec<Metric>,
}

#[derive(Args)]
struct Table {
    /// The folder with the results
    folder: PathBuf,
    #[command(flatten)]
    figures: Figures,
}

#[derive(Args)]
struct UpCommand {
    /// Number of model servers
    #[arg(long, default_value_t = 3)]
    servers: usize,
    /// Number of nodes
    #[arg(long, default_value_t = 1)]
    nodes: usize,
    /// Stop everything after this many seconds
    #[arg(long = "for", default_value_t = 3600, value_name = "SECONDS")]
    span: u64,
    /// The node's program; default: this program
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Output folder for configurations and logs
    #[arg(long, default_value = "target/lab/up", value_name = "FOLDER")]
    out: PathBuf,
}

#[derive(Args)]
struct Load {
    /// The experiment file, in TOML; only the project's own policy is run
    file: PathBuf,
    /// Output folder for results; default: target/lab/NAME-sockets, with the experiment's name
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// The node's program; default: this program
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    #[command(flatten)]
    figures: Figures,
}

#[derive(Args)]
struct View {
    /// The log of a node, as written by `poppykeel serve --log-format json`
    #[arg(
        long,
        value_name = "FILE",
        conflicts_with = "experiment",
        required_unless_present = "experiment"
    )]
    log: Option<PathBuf>,
    /// An experiment file, of which one run is shown
    #[arg(long, value_name = "FILE")]
    experiment: Option<PathBuf>,
    /// Index of the experiment's point, from 0
    #[arg(long, default_value_t = 0)]
    point: usize,
    /// Policy of the run
    #[arg(long, default_value = "poppykeel")]
    policy: String,
    /// Seed of the run
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Speed relative to real time
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
}

#[derive(Args)]
struct Report {
    /// The folder with the results
    folder: PathBuf,
    /// Output file; default: report.html in that folder
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

#[derive(Args)]
struct Compare {
    /// The folder with the results before the change
    before: PathBuf,
    /// The folder with the results after the change
    after: PathBuf,
    #[command(flatten)]
    figures: Figures,
}

fn metric_title(metric: Metric) -> String {
    use clap::ValueEnum;
    let value = metric.to_possible_value();
    value
        .and_then(|v| v.get_help().map(|h| h.to_string()))
        .unwrap_or_default()
}

fn read_results(folder: &Path) -> Result<Vec<RunResult>, String> {
    if !folder.is_dir() {
        return Err(format!(
            "results folder {} does not exist",
            folder.display()
        ));
    }
    ResultsFolder::open(folder)
        .and_then(|results| results.all())
        .map_err(|e| e.to_string())
}

impl Run {
    fn run(&self) -> Result<(), String> {
        let experiment = Experiment::read(&self.file).map_err(|e| e.to_string())?;
        let folder = self
            .out
            .clone()
            .unwrap_or_else(|| Path::new("target/lab").join(&experiment.name));
        let results = ResultsFolder::open(&folder).map_err(|e| e.to_string())?;
        if let Some(threads) = self.threads {
            let pool = rayon::ThreadPoolBuilder::new()
                .num_threads(threads)
                .build_global();
            pool.map_err(|e| format!("cannot start the worker threads: {e}"))?;
        }
        let style = ProgressStyle::with_template(
            "{bar:40} {pos}/{len} runs, {elapsed} of about {duration}",
        );
        let progress = ProgressBar::new(0).with_style(style.map_err(|e| e.to_string())?);
        let options = runner::RunOptions {
            repeats_existing: self.again,
            writes_traces: self.trace,
            progress: &progress,
        };
        let run_count =
            runner::run_missing(&experiment, &results, &options).map_err(|e| e.to_string())?;
        progress.finish_and_clear();
        println!(
            "{}: {run_count} runs made, all results in {}",
            experiment.name,
            folder.display()
        );
        print_tables(&results.all().map_err(|e| e.to_string())?, &self.figures);
        Ok(())
    }
}

fn print_tables(results: &[RunResult], figures: &Figures) {
    for metric in &figures.figures {
        println!(
            "\n{}\n{}",
            metric_title(*metric),
            render_table(results, *metric)
        );
    }
}

impl Compare {
    fn run(&self) -> Result<(), String> {
        let (before, after) = (read_results(&self.before)?, read_results(&self.after)?);
        for metric in &self.figures.figures {
            println!(
                "\n{}: by how much it has changed\n{}",
                metric_title(*metric),
                render_comparison(&before, &after, *metric)
            );
        }
        Ok(())
    }
}

/// Runs a future on a single-threaded runtime with a `LocalSet`, which the tasks on sockets need.
fn block_on<T>(task: impl std::future::Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    tokio::task::LocalSet::new().block_on(
        &runtime.map_err(|e| format!("cannot create the runtime: {e}"))?,
        task,
    )
}

impl UpCommand {
    fn run(&self) -> Result<(), String> {
        let program = sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?;
        let mut run = Description::default();
        (run.fleet.servers, run.fleet.nodes, run.fleet.zones) = (self.servers, self.nodes, 1);
        let run = run.check().map_err(|e| e.to_string())?;
        std::fs::create_dir_all(&self.out)
            .map_err(|e| format!("cannot create the folder {}: {e}", self.out.display()))?;
        block_on(async {
            let deployment = sockets::LocalDeployment::start(&run, &program, &self.out)
                .await
                .map_err(|e| e.to_string())?;
            println!(
                "{}\n{}\n\nCtrl-C ends all.",
                deployment.summary(),
                deployment.curl_command()
            );
            deployment
                .serve_for(std::time::Duration::from_secs(self.span))
                .await;
            Ok(())
        })
    }
}

impl Load {
    fn run(&self) -> Result<(), String> {
        let (experiment, program) = (
            Experiment::read(&self.file).map_err(|e| e.to_string())?,
            sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?,
        );
        let name = format!("{}-sockets", experiment.name);
        let folder = self
            .out
            .clone()
            .unwrap_or_else(|| Path::new("target/lab").join(name));
        let results = ResultsFolder::open(&folder).map_err(|e| e.to_string())?;
        for (n, point) in experiment.points.iter().enumerate() {
            for seed in &experiment.seeds {
                let path = results.path(n, Policy::Poppykeel, *seed);
                if results.find(&path, &point.label, &point.run).is_some() {
                    continue;
                }
                eprintln!(
                    "{}, seed {seed}: sending load for {} s",
                    point.label, point.run.load.seconds
                );
                let outcome = block_on(async {
                    let result = sockets::run_load(&point.run, &program, &folder, *seed).await;
                    result.map_err(|e| e.to_string())
                })?;
                let (label, policy, seed) = (point.label.clone(), Policy::Poppykeel, *seed);
                results
                    .write(
                        &path,
                        &RunResult {
                            label,
                            policy,
                            seed,
                            run: point.run.clone(),
                            outcome,
                        },
                    )
                    .map_err(|e| e.to_string())?;
            }
        }
        println!("{}: all results in {}", experiment.name, folder.display());
        print_tables(&results.all().map_err(|e| e.to_string())?, &self.figures);
        Ok(())
    }
}

impl View {
    fn run(&self) -> Result<(), String> {
        if let Some(log) = &self.log {
            let title = log.display().to_string();
            let state = view::ViewState::new(&title, Vec::new());
            return view::follow_node_log(log, state).map_err(|e| e.to_string());
        }
        let Some(file) = &self.experiment else {
            return Err("view: either --log or --experiment is required".into());
        };
        let experiment = Experiment::read(file).map_err(|e| e.to_string())?;
        let count = experiment.points.len();
        let point = experiment.points.get(self.point);
        let point = point.ok_or_else(|| {
            format!(
                "--point: expected a number below {count}, not {}",
                self.point
            )
        })?;
        let policy = Policy::ALL
            .into_iter()
            .find(|p| p.to_string() == self.policy)
            .ok_or_else(|| {
                let all: Vec<String> = Policy::ALL.iter().map(Policy::to_string).collect();
                format!(
                    "--policy: expected one of {}, not {}",
                    all.join(", "),
                    self.policy
                )
            })?;
        let mut simulation =
            Simulation::new(&point.run, policy, self.seed).map_err(|e| e.to_string())?;
        let tenants = point.run.tenant.iter().map(|t| t.name.clone()).collect();
        let state = view::ViewState::new(
            &format!("{}: {}, {policy}", experiment.name, point.label),
            tenants,
        );
        view::show_simulation(
            &mut simulation,
            state,
            point.run.load.seconds,
            self.speed.max(0.01),
        )
        .map_err(|e| e.to_string())
    }
}

impl BreakLeases {
    fn run(&self) -> Result<bool, String> {
        let program = sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?;
        let lease = std::time::Duration::from_millis(self.lease_ms);
        let shape = FleetShape {
            nodes: self.nodes,
            lease_servers: self.keepers,
            lease_duration: lease,
            allowed_drift_ppm: self.drift,
            clock_skew_ppm: self.skew,
            ..FleetShape::default()
        };
        let (rounds, seed, only) = (self.rounds, self.seed, self.only.clone());
        let script = self
            .script
            .as_deref()
            .map(InjectedFault::read_script)
            .transpose()
            .map_err(|e| e.to_string())?
            .unwrap_or_default();
        let scenario = LeaseScenario {
            shape,
            rounds,
            seed,
            only,
            script,
            rejects_old_epochs: true,
        };
        let report = block_on(async {
            let result = run_lease_scenario(&scenario, &program, &self.out).await;
            result.map_err(|e| e.to_string())
        })?;
        report
            .problems
            .iter()
            .chain(&report.verdict.overlaps)
            .for_each(|problem| println!("{problem}"));
        let [p50, p99] = [0.5, 0.99].map(|quantile| report.gap_quantile(quantile) as f64 / 1e6);
        println!("each round's longest time without an act: p50 {p50:.2} s, p99 {p99:.2} s");
        println!("{}", report.format_summary(seed));
        Ok(report.is_good())
    }
}

impl BreakRoll {
    fn run(&self) -> Result<bool, String> {
        let program = sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?;
        let shape = FleetShape {
            nodes: self.nodes,
            report_interval: std::time::Duration::from_secs(1),
            ..FleetShape::default()
        };
        let scenario = RollingRestartScenario {
            shape,
            seed: self.seed,
            fault_count: self.faults,
            max_out: self.most,
        };
        let report = block_on(async {
            let result = run_rolling_restart_scenario(&scenario, &program, &self.out).await;
            result.map_err(|e| e.to_string())
        })?;
        println!(
            "nodes {}, been out {}, most out at once {} of {}, in charge {}, {:.1} s, seed {}",
            self.nodes,
            report.seen_out,
            report.max_out_at_once,
            self.most,
            report.coordinator_count,
            report.duration_s,
            self.seed
        );
        Ok(report.max_out_at_once <= self.most && report.ready_at_end == self.nodes)
    }
}

impl BreakBudgets {
    fn run(&self) -> Result<bool, String> {
        let program = sockets::node_program(self.node.as_deref()).map_err(|e| e.to_string())?;
        let shape = FleetShape {
            nodes: self.nodes,
            zones: self.zones,
            report_interval: std::time::Duration::from_secs(1),
            ..FleetShape::default()
        };
        let scenario = BudgetScenario {
            shape,
            rounds: self.rounds,
            seed: self.seed,
            only: self.only.clone(),
            retries: FleetBudget {
                rate: self.rate,
                burst: self.burst,
            },
            division: self.division,
            first_node_load_factor: self.hot,
        };
        let report = block_on(async {
            let result = run_budget_scenario(&scenario, &program, &self.out).await;
            result.map_err(|e| e.to_string())
        })?;
        for (name, c) in [
            ("repeats", report.repeats),
            ("probes", report.probes),
            ("crossings", report.cross_zone),
        ] {
            println!(
                "{name}: {} at the servers, worst window {:.2} of its bound, busiest second {:.2} of the rate",
                c.count, c.worst_window, c.busiest_second
            );
        }
        println!(
            "requests {} of {} answered whole; crossings {} by the servers, {} by the nodes",
            report.completed_requests,
            report.sent_requests,
            report.cross_zone.count,
            report.reported_cross_zone
        );
        println!(
            "rounds {}, windows checked {}, worst window {:.2} of its bound, units lost {:.1}, seed {}",
            report.rounds,
            report.window_count(),
            report.worst_window(),
            report.lost_retry_rate,
            self.seed
        );
        Ok(report.worst_window() <= 1.0)
    }
}

impl Report {
    fn run(&self) -> Result<(), String> {
        let results = read_results(&self.folder)?;
        let name = self
            .folder
            .file_name()
            .map(|n| n.to_string_lossy().into_owned())
            .unwrap_or_default();
        let out = self
            .out
            .clone()
            .unwrap_or_else(|| self.folder.join("report.html"));
        let page = poppykeel_testbed::report::render_page(&name, &results)?;
        std::fs::write(&out, page)
            .map_err(|e| format!("cannot write the report {}: {e}", out.display()))?;
        println!("{}", out.display());
        Ok(())
    }
}

fn check(file: &Path) -> Result<(), String> {
    let e = Experiment::read(file).map_err(|e| e.to_string())?;
    let runs = e.points.len() * e.policies.len() * e.seeds.len();
    println!(
        "{}: {} points, {} policies, {} seeds: {runs} runs",
        e.name,
        e.points.len(),
        e.policies.len(),
        e.seeds.len()
    );
    for point in &e.points {
        let (f, l) = (&point.run.fleet, &point.run.load);
        let rate = l.per_server * f.servers as f64;
        println!(
            "  {}: {} servers, {} nodes, {rate:.0} requests/s for {} s",
            point.label, f.servers, f.nodes, l.seconds
        );
    }
    Ok(())
}

fn main() -> ExitCode {
    // Runs as a node for `up`, `load` and `break`, so that a new machine has to build only one program.
    if std::env::args().nth(1).as_deref() == Some("serve") {
        return poppykeel::program::main();
    }
    let result = match TestbedCli::parse().command {
        Command::Run(run) => run.run(),
        Command::Table(table) => {
            read_results(&table.folder).map(|results| print_tables(&results, &table.figures))
        }
        Command::Compare(compare) => compare.run(),
        Command::Report(report) => report.run(),
        Command::Up(up) => up.run(),
        Command::Load(load) => load.run(),
        Command::View(view) => view.run(),
        Command::Break(Break { what }) => match what.run() {
            Ok(true) => Ok(()),
            // The violations have been printed already.
            Ok(false) => return ExitCode::FAILURE,
            Err(e) => Err(e),
        },
        Command::Check { file } => check(&file),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("poppykeel-testbed: {text}");
            ExitCode::FAILURE
        }
    }
}
