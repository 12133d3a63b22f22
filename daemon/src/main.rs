//! `hollyhead-entry`, the daemon of an entry instance.

mod reload;

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead::cookie_entry::CookieEntry;
use hollyhead::entry::Entry;
use hollyhead::log_message::{LEAVING, LEFT, STARTED};
use hollyhead::logging;
use hollyhead::settings::{Settings, IP_FORM};
use hollyhead::settings_file::SettingsFile;
// Links the crate, which registers plug-ins.
use hollyhead_platform as _;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Runs an entry instance of hollyhead
///
/// Example: hollyhead-entry --config /etc/hollyhead/entry.ini
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file
    #[bpaf(env("HOLLYHEAD_CONFIG"), argument("FILE"))]
    config: PathBuf,
    /// Only check the settings file
    check_config: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let _finish = logging::finish_guard();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            // Before the settings are read, there is no logger yet and this line goes nowhere.
            log::error!("ended by an error: {err:#}");
            logging::write_stderr(format!("hollyhead-entry: {err:#}"));
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<()> {
    let (file, settings) = SettingsFile::open(&options.config)?;
    if options.check_config {
        println!("{}: no faults", options.config.display());
        return Ok(());
    }
    logging::init(&settings.name, &settings.data_centre);
    if settings.form == IP_FORM {
        let runtime =
            tokio::runtime::Runtime::new().context("cannot start the multi-threaded runtime")?;
        return runtime.block_on(serve(file, settings));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime
        .context("cannot start the single-threaded runtime")?
        .block_on(serve_cookies(file, settings))
}

/// Runs an instance with a packet forwarder and a request gateway.
async fn serve(file: SettingsFile, settings: Settings) -> Result<()> {
    let mut signals = Signals::new()?;
    let entry = Entry::start(&settings).await?;
    print_addresses(&entry);
    tokio::select! {
        () = signals.stop_requested() => {}
        // With the packet format `ip`, changed settings apply only after a restart.
        result = reload::follow_settings(file, settings, |_| {}) => result?,
    }
    leave(entry.leave(), signals).await;
    Ok(())
}

/// Runs an instance that forwards packets by the target cookie that they carry. Its runtime has a
/// single thread, because instances in this mode run on small machines.
async fn serve_cookies(file: SettingsFile, settings: Settings) -> Result<()> {
    let mut signals = Signals::new()?;
    let entry = CookieEntry::start(&settings).await?;
    log::info!(
        flow:% = entry.flow(), peer:% = entry.peer(), admin:% = entry.admin();
        "{STARTED}"
    );
    tokio::select! {
        () = signals.stop_requested() => {}
        result = reload::follow_settings(file, settings, |new| entry.reload(new)) => result?,
    }
    leave(entry.leave(), signals).await;
    Ok(())
}

/// Handlers of the signals that the process may receive. SIGUSR1, SIGUSR2 and SIGALRM are handled
/// and ignored, because their default action would terminate the process.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    _ignored: Vec<Signal>,
}

impl Signals {
    fn new() -> Result<Self> {
        let ignored =
            [SignalKind::user_defined1(), SignalKind::user_defined2(), SignalKind::alarm()];
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            _ignored: ignored.into_iter().map(signal).collect::<Result<_, _>>()?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

async fn leave(leaving: impl Future<Output = ()>, mut signals: Signals) {
    log::info!("{LEAVING}");
    tokio::select! {
        () = leaving => log::info!("{LEFT}"),
        () = signals.stop_requested() => log::warn!("stopped by a second signal while leaving"),
    }
}

/// Prints the addresses that the instance listens on as one line of JSON, for callers that let the
/// operating system choose the ports.
fn print_addresses(entry: &Entry) {
    let addresses = entry.addresses();
    println!(
        r#"{{"flow":"{}","peer":"{}","request":"{}","admin":"{}"}}"#,
        addresses.flow, addresses.peer, addresses.request, addresses.admin
    );
}
