//! Prints the tables of the settings page: all keys of a settings file and of a catalogue.

use crocusyard_catalog::keys::CATALOG_KEYS;
use crocusyard_settings::keys::HOST_KEYS;
use crocusyard_settings::page::render_keys;

fn main() {
    println!("{}", render_keys(HOST_KEYS));
    println!("{}", render_keys(CATALOG_KEYS));
}
