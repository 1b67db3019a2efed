//! Limits of a folder of settings.

/// Maximum number of files in a folder.
pub const MAX_FILES: usize = 10_000;

/// Maximum size of a file in bytes: the largest value that the platform's key-value service stores.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// Maximum total size of the files of a folder in bytes.
pub const MAX_FOLDER_BYTES: usize = 16 << 20;

/// Maximum size of a string in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

/// Maximum size of the name of an object in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum number of objects that one numbered name expands to.
pub const MAX_RANGE: u32 = 10_000;

/// Maximum number of JSON values in all files together, after numbered names are expanded.
pub const MAX_VALUES: usize = 300_000;

/// Maximum number of findings in a report; further ones are only counted.
pub const MAX_FINDINGS: usize = 200;
