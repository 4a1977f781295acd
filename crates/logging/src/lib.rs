//! JSON-lines logging set up from the settings.
