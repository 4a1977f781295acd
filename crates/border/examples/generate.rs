//! Regenerates the modules under `src/generated` from the schemas.

#[path = "../tests/generator/mod.rs"]
mod generator;

fn main() {
    for schema in generator::SCHEMAS {
        std::fs::write(generator::module_path(schema), generator::generate(schema))
            .expect("the generated module cannot be written");
    }
}
