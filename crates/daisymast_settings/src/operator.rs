//! Settings of the command line tool `daisymast`.

use std::net::SocketAddr;

use serde_json::Value;

use crate::Secret;
use crate::fault::Faults;
use crate::fields::Fields;

/// Addresses of the instances, and the key for authentication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Addresses of listeners for operators, in the order in which they are tried.
    pub operators: Vec<SocketAddr>,
    /// Addresses of listeners for callers, in the order in which they are tried.
    pub callers: Vec<SocketAddr>,
    /// Key that authenticates messages of operators.
    pub operator_key: Secret,
}

/// Parses and validates the text of the file that `--settings` names.
///
/// # Errors
/// Returns all faults together, each with the field, its value and what is allowed. The key is
/// redacted.
///
/// ```
/// use daisymast_settings::operator;
/// let settings = operator::parse(
///     r#"{"operators": ["10.0.0.7:7201"], "operator_key": "0123456789abcdef0123456789abcdef"}"#,
/// )?;
/// assert_eq!(settings.operators.len(), 1);
/// # Ok::<(), daisymast_settings::fault::Faults>(())
/// ```
pub fn parse(text: &str) -> Result<OperatorSettings, Faults> {
    let mut faults = Faults::default();
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            faults.add("settings", &"invalid JSON", &error.to_string());
            return Err(faults);
        }
    };
    let mut fields = Fields::new("", value, &mut faults);
    let operators = fields.remote_addresses("operators");
    let callers = fields.remote_addresses("callers");
    let operator_key = fields.secret("operator_key");
    fields.report_unknown_fields();
    match operator_key {
        Some(operator_key) if faults.is_empty() => Ok(OperatorSettings {
            operators,
            callers,
            operator_key,
        }),
        Some(_) | None => Err(faults),
    }
}
