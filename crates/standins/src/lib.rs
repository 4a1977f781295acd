//! Small stand-ins for model engines, plain services and the platform, for tests and the quickstart.
