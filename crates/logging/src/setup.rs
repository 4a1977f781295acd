//! Configures and starts the logger of the process.

use crate::queue::QueueAppender;
use crocusyard_settings::prelude::{LogLevel, LogSettings};
use log::{Level, LevelFilter, Record};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::filter::{Filter, Response};
use snafu::{ResultExt, Snafu};

const APPENDER_NAME: &str = "out";
const PROJECT_TARGET_PREFIX: &str = "crocusyard";

/// Error for a logger that cannot be started.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// A module name in the settings is not valid.
    #[snafu(display("the log settings are not valid: {source}"))]
    InvalidSettings {
        /// Module names that were refused.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// The thread that writes log lines could not be started.
    #[snafu(display("the log writer thread cannot be started: {source}"))]
    WriterNotStarted {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The process already has a logger.
    #[snafu(display("logging is already started: {source}"))]
    AlreadyStarted {
        /// Error of the `log` crate.
        source: log::SetLoggerError,
    },
}

/// Drops debug and trace lines of libraries, which can hold headers and thus keys.
#[derive(Debug)]
pub struct LibraryFilter;

impl Filter for LibraryFilter {
    fn filter(&self, record: &Record<'_>) -> Response {
        let own_target = record.target().starts_with(PROJECT_TARGET_PREFIX);
        if own_target || record.level() <= Level::Info {
            Response::Neutral
        } else {
            Response::Reject
        }
    }
}

/// Starts logging to standard output, written by the thread that logs.
///
/// # Errors
///
/// Fails if a module name is not valid or a logger is already set.
pub fn start_logging(settings: &LogSettings) -> Result<(), LoggingError> {
    let console = ConsoleAppender::builder()
        .target(Target::Stdout)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = logging_config(settings, Box::new(console))?;
    log4rs::init_config(config).context(AlreadyStartedSnafu)?;
    Ok(())
}

/// Starts logging to standard output through a queue and a writer thread.
///
/// At most `lines_per_s` lines are written per second; see [`QueueAppender`].
///
/// # Errors
///
/// Fails if the writer thread cannot be started, a module name is not valid or a logger is already
/// set.
pub fn start_queued_logging(settings: &LogSettings, lines_per_s: u64) -> Result<(), LoggingError> {
    let appender = QueueAppender::start(lines_per_s, Box::new(std::io::stdout()))
        .context(WriterNotStartedSnafu)?;
    let config = logging_config(settings, Box::new(appender))?;
    log4rs::init_config(config).context(AlreadyStartedSnafu)?;
    Ok(())
}

/// Builds the configuration of the logger for a given appender.
///
/// # Errors
///
/// Fails if a module name is not valid.
pub fn logging_config(
    settings: &LogSettings,
    appender: Box<dyn Append>,
) -> Result<Config, LoggingError> {
    let appender = Appender::builder()
        .filter(Box::new(LibraryFilter))
        .build(APPENDER_NAME, appender);
    let mut builder = Config::builder().appender(appender);
    for (module, level) in &settings.modules {
        builder = builder.logger(Logger::builder().build(module, level_filter(*level)));
    }
    let root = Root::builder()
        .appender(APPENDER_NAME)
        .build(level_filter(settings.level));
    builder.build(root).context(InvalidSettingsSnafu)
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
