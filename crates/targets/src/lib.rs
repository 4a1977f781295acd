//! Client of the targets: model engines and plain services.
