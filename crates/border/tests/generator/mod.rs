//! Generates the Rust types of a schema; shared by the generator example and the drift test.

use std::path::{Path, PathBuf};

/// Schemas that have a generated module.
pub const SCHEMAS: [&str; 3] = ["callers", "engine", "platform"];

/// Returns the path of the generated module of a schema.
pub fn module_path(schema: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("src/generated/{schema}.rs"))
}

/// Returns the source of the generated module of a schema.
pub fn generate(schema: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("schemas/{schema}.json"));
    let text = std::fs::read_to_string(&path).expect("the schema cannot be read");
    let schema: schemars::schema::RootSchema =
        serde_json::from_str(&text).expect("the schema is not a valid JSON schema");
    let mut types = typify::TypeSpace::new(
        typify::TypeSpaceSettings::default().with_derive("PartialEq".to_owned()),
    );
    types
        .add_root_schema(schema)
        .expect("no types can be generated from the schema");
    let file =
        syn::parse2::<syn::File>(types.to_stream()).expect("the generated code is not valid Rust");
    prettyplease::unparse(&file)
}
