//! Text identifiers, with a type for each kind of object.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Wraps `text` without validating it.
            pub fn new(text: impl Into<SmolStr>) -> Self {
                Self(text.into())
            }

            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(SmolStr::new(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }
    )*};
}

names! {
    /// A client account, as named in the operators' document.
    AccountName;
    /// An endpoint, as named in its announcements.
    EndpointName;
    /// A failure domain, as named in settings and announcements.
    FailureDomain;
    /// An instance, as named in its settings.
    InstanceName;
    /// A region, as named in settings and documents; it consists of failure domains.
    Region;
    /// The path of a request below its service. Versions are compared route by route.
    Route;
    /// A section of the operators' document.
    SectionName;
    /// A service that endpoints serve, which is also the `model` of a request.
    ServiceName;
    /// A version of a service.
    Version;
}

/// The maximum length of an identifier received from outside the process, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Returns true if `text` is a valid identifier.
///
/// # Examples
/// ```
/// use lycheehub_types::name::is_valid;
/// assert!(is_valid("label-writer"));
/// assert!(!is_valid("label writer"));
/// assert!(!is_valid(""));
/// ```
pub fn is_valid(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed)
}

/// The maximum length of a text received from outside the process that need not be an identifier, in
/// bytes.
pub const LABEL_MAX_BYTES: usize = 256;

/// Returns true if `text` is short and contains no control characters.
///
/// # Examples
/// ```
/// use lycheehub_types::name::is_label;
/// assert!(is_label("v1 (beta)"));
/// assert!(!is_label("v1\0"));
/// ```
pub fn is_label(text: &str) -> bool {
    text.len() <= LABEL_MAX_BYTES && !text.chars().any(char::is_control)
}
