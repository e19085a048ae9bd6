//! The form in which daemons exchange a configuration that a platform stores.
//!
//! It is the checked configuration itself as JSON, so that no value has to pass the syntax of the operators' files. A
//! daemon of another state, whose types differ, cannot decode it and reads the platform itself.
//!
//! Owns: the encoding of a checked configuration. Relies on: the types of `curlewcleat-core`, which reject unknown fields.

use curlewcleat_core::{ActiveConfig, ConfigBundle};
use serde::{Deserialize, Serialize};

/// Name under which the document stands in a [`ConfigBundle`].
pub const DOCUMENT_FILE: &str = "config.json";
/// Number of the encoding. It changes whenever a type of the document gets another meaning.
const FORMAT: u32 = 1;

/// Why a document cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The document is not the JSON of a configuration.
    #[error("{DOCUMENT_FILE}: {0}")]
    Json(#[from] serde_json::Error),
    /// The document has another encoding.
    #[error("{DOCUMENT_FILE}: has format {0}; this daemon reads format {FORMAT}")]
    Format(u32),
}

/// A configuration with the number of its encoding.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigDocument<C> {
    format: u32,
    config: C,
}

/// Encodes a checked configuration.
///
/// # Errors
/// [`DocumentError::Json`] if it cannot be encoded.
pub fn encode(config: &ActiveConfig) -> Result<ConfigBundle, DocumentError> {
    let text = serde_json::to_string(&ConfigDocument { format: FORMAT, config })?;
    let files = [(DOCUMENT_FILE.to_string(), text)].into();
    Ok(ConfigBundle { generation: config.generation, files })
}

/// Decodes a configuration, or returns `None` if the bundle holds operators' files instead.
///
/// # Errors
/// If the document has another encoding or cannot be decoded.
pub fn decode(bundle: &ConfigBundle) -> Option<Result<ActiveConfig, DocumentError>> {
    let text = bundle.files.get(DOCUMENT_FILE)?;
    Some(decode_text(text))
}

fn decode_text(text: &str) -> Result<ActiveConfig, DocumentError> {
    let ConfigDocument { format, mut config } =
        serde_json::from_str::<ConfigDocument<ActiveConfig>>(text)?;
    if format != FORMAT {
        return Err(DocumentError::Format(format));
    }
    config.index_tokens();
    Ok(config)
}
