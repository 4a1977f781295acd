//! Plans which model and adapter is resident on which accelerator.
