//! Guards against changes that break an unmodified OpenAI client, of which only the base URL and
//! the API key are set.

use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
    CreateChatCompletionRequestArgs,
};
use async_openai::Client;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use futures_util::StreamExt;

const PROMPT: &str = "How long does a mural last?";
const TOKENS: u32 = 8;
const SETTINGS: &str = "requests: { tenant_from: key, load_poll_ms: 100 }\n";
const KEY: &str = "key-of-the-plazas";

/// Starts a deployment whose tenant `plazas` has an API key, and returns it with a client.
async fn start_with_key() -> (LocalDeployment, Client<OpenAIConfig>) {
    std::env::set_var("CROCUSYARD_TEST_PLAZAS_KEY", KEY);
    let mut catalog = sample_catalog();
    catalog.tenants[0].key_env = Some("CROCUSYARD_TEST_PLAZAS_KEY".to_owned());
    let deployment = LocalBuilder::default()
        .hosts(1)
        .catalog(catalog)
        .settings(SETTINGS)
        .start()
        .await
        .expect("the deployment cannot start");
    let base = format!("http://{}/v1", deployment.entry(0));
    let config = OpenAIConfig::new().with_api_base(base).with_api_key(KEY);
    (deployment, Client::with_config(config))
}

fn chat_request() -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content(PROMPT)
        .build()
        .expect("the message is incomplete");
    CreateChatCompletionRequestArgs::default()
        .model("chalk-small")
        .max_completion_tokens(TOKENS)
        .messages([message.into()])
        .build()
        .expect("the request is incomplete")
}

/// Guards against answers without streaming that the client cannot parse or that are incomplete.
#[actix_web::test]
async fn openai_client_gets_a_complete_document() {
    let (_deployment, client) = start_with_key().await;
    let answer = client
        .chat()
        .create(chat_request())
        .await
        .expect("the request is not served");
    let text = answer.choices[0]
        .message
        .content
        .clone()
        .unwrap_or_default();
    assert_eq!(text, answer_tokens("chalk-small", PROMPT, TOKENS));
}

/// Guards against streams that the client cannot parse or that are incomplete.
#[actix_web::test]
async fn openai_client_gets_a_complete_stream() {
    let (_deployment, client) = start_with_key().await;
    let mut stream = client
        .chat()
        .create_stream(chat_request())
        .await
        .expect("the request is not served");
    let mut text = String::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.expect("a chunk of the stream cannot be read");
        text.push_str(
            chunk.choices[0]
                .delta
                .content
                .as_deref()
                .unwrap_or_default(),
        );
    }
    assert_eq!(text, answer_tokens("chalk-small", PROMPT, TOKENS));
}

/// Guards against a list of models that the client cannot parse or that is incomplete.
#[actix_web::test]
async fn openai_client_lists_models_and_adapters() {
    let (_deployment, client) = start_with_key().await;
    let models = client
        .models()
        .list()
        .await
        .expect("the models cannot be listed");
    let names: Vec<_> = models.data.iter().map(|model| model.id.as_str()).collect();
    assert_eq!(names, ["chalk-large", "chalk-small", "chalk-pigments"]);
}
