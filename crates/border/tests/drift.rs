//! Guards against generated types that no longer match their schemas.

mod generator;

#[test]
fn generated_modules_match_their_schemas() {
    for schema in generator::SCHEMAS {
        let committed = std::fs::read_to_string(generator::module_path(schema))
            .expect("the generated module cannot be read");
        assert_eq!(
            committed,
            generator::generate(schema),
            "the generated module of schema {schema} is out of date; run \
             `cargo run -p crocusyard_border --example generate`"
        );
    }
}
