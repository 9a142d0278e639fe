//! Identifies what a request contains, apart from its attempt.
//!
//! A request that comes again has the same path, caller and body, and so the same
//! shared parts of its prompt, but another attempt id, and perhaps another query.
//! So it has two ids beside those of these parts: one of its path, caller, body
//! and shared parts, which requests with other queries share, and one that covers
//! method and query as well. Like the parts of a prompt they go from the widely
//! shared to the specific, so that one mechanism judges them all.

use xxhash_rust::xxh3::Xxh3Default;

use super::wire::PartId;

/// Prefix of the ids of whole requests. A colon separates an id from its size in
/// a caller's list of parts, so that no caller can name such an id.
const REQUEST_PREFIX: &str = "request:";

/// What identifies a request that comes again.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Host, in lower case.
    pub host: &'a str,
    /// Method of the request.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query; empty if there is none.
    pub query: &'a str,
    /// Workspace of the caller; empty for anonymous callers.
    pub workspace: &'a str,
    /// Shared parts of the prompt; empty for a request without one.
    pub shared_parts: &'a [PartId],
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Ids of the request, the one shared by more requests first.
    pub fn ids(&self) -> [PartId; 2] {
        let mut hasher = Xxh3Default::new();
        for field in [self.host, self.path, self.workspace] {
            update(&mut hasher, field.as_bytes());
        }
        update(&mut hasher, self.body);
        for part in self.shared_parts {
            update(&mut hasher, part.as_str().as_bytes());
        }
        let shared = request_id(&hasher);
        for field in [self.method, self.query] {
            update(&mut hasher, field.as_bytes());
        }
        [shared, request_id(&hasher)]
    }
}

impl PartId {
    /// Whether this is the id of a whole request.
    pub fn is_request(&self) -> bool {
        self.as_str().starts_with(REQUEST_PREFIX)
    }
}

/// Adds a field and its length, so that fields cannot run into each other.
fn update(hasher: &mut Xxh3Default, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

fn request_id(hasher: &Xxh3Default) -> PartId {
    let id = format!("{REQUEST_PREFIX}{:032x}", hasher.digest128());
    id.parse().expect("prefix and digits make an id")
}
