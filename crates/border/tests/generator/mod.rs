//! Generates the Rust types of one schema; shared by the generator example and the drift test.

use std::path::{Path, PathBuf};

/// Schemas that have a generated module.
pub const SCHEMAS: [&str; 3] = ["callers", "engine", "platform"];

/// Returns the path of the generated module of a schema.
pub fn module_path(schema: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("src/generated/{schema}.rs"))
}

/// Generates the module of a schema.
pub fn generate(schema: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("schemas/{schema}.json"));
    let text = std::fs::read_to_string(&path).expect("schema is readable");
    let schema: schemars::schema::RootSchema =
        serde_json::from_str(&text).expect("schema is valid");
    let mut space = typify::TypeSpace::new(
        typify::TypeSpaceSettings::default().with_derive("PartialEq".to_owned()),
    );
    space
        .add_root_schema(schema)
        .expect("schema can be generated");
    let file = syn::parse2::<syn::File>(space.to_stream()).expect("generated code parses");
    prettyplease::unparse(&file)
}
