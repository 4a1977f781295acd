//! Set-up of the logger.

use crate::queue::QueueAppender;
use crocusyard_settings::prelude::{LogLevel, LogSettings};
use log::{Level, LevelFilter, Record};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::filter::{Filter, Response};
use snafu::{ResultExt, Snafu};

const APPENDER: &str = "out";
const PROJECT_PREFIX: &str = "crocusyard";

/// Logging could not be started.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The modules of the settings do not make a configuration.
    #[snafu(display("the log settings are refused: {source}"))]
    InvalidSettings {
        /// Cause.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// The writer thread cannot be started.
    #[snafu(display("no thread for the log: {source}"))]
    WriterNotStarted {
        /// Cause.
        source: std::io::Error,
    },
    /// A logger is already set.
    #[snafu(display("logging is already started: {source}"))]
    AlreadyStarted {
        /// Cause.
        source: log::SetLoggerError,
    },
}

/// Drops the fine-grained lines of libraries, which can hold headers and with them keys.
#[derive(Debug)]
pub struct LibraryFilter;

impl Filter for LibraryFilter {
    fn filter(&self, record: &Record<'_>) -> Response {
        let ours = record.target().starts_with(PROJECT_PREFIX);
        if ours || record.level() <= Level::Info {
            Response::Neutral
        } else {
            Response::Reject
        }
    }
}

/// Starts logging to standard output.
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

/// Starts logging to standard output by a thread of its own.
///
/// # Errors
///
/// Fails if the thread cannot be started or a logger is already set.
pub fn start_queued_logging(settings: &LogSettings, lines_per_s: u64) -> Result<(), LoggingError> {
    let appender = QueueAppender::start(lines_per_s, Box::new(std::io::stdout()))
        .context(WriterNotStartedSnafu)?;
    let config = logging_config(settings, Box::new(appender))?;
    log4rs::init_config(config).context(AlreadyStartedSnafu)?;
    Ok(())
}

/// Makes the configuration of the logger for a given appender.
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
        .build(APPENDER, appender);
    let mut builder = Config::builder().appender(appender);
    for (module, level) in &settings.modules {
        builder = builder.logger(Logger::builder().build(module, filter_of(*level)));
    }
    let root = Root::builder()
        .appender(APPENDER)
        .build(filter_of(settings.level));
    builder.build(root).context(InvalidSettingsSnafu)
}

fn filter_of(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
