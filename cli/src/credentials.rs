//! Authenticates callers and operators by their keys.
//!
//! The configuration contains SHA-256 digests of the keys. A key is looked up
//! by a prefix of its digest; the whole digest is then compared in constant
//! time.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use borageline_lib::{
    fleet::{FleetState, OperatorRole},
    ids::{OperatorName, WorkspaceId},
    refusal::{Refusal, RefusalCode},
};
use http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of the digest prefix by which keys are looked up, in hex digits.
const LOOKUP_CHARS: usize = 16;

/// SHA-256 digest of several fields, in lower-case hex. Each field is preceded
/// by its length, so that moving bytes between fields changes the digest.
pub fn hex_digest(fields: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hex(&hash.finalize())
}

/// SHA-256 digest of a key in lower-case hex, as in the configuration.
pub fn key_digest(key: &[u8]) -> String {
    hex(&Sha256::digest(key))
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("a string takes all text");
    }
    text
}

#[derive(Debug)]
struct DigestIndex<T> {
    entries: BTreeMap<Arc<str>, Vec<(Arc<str>, T)>>,
}

impl<T: Clone> DigestIndex<T> {
    fn new(pairs: impl Iterator<Item = (Arc<str>, T)>) -> Self {
        let mut entries = BTreeMap::<_, Vec<_>>::new();
        for (digest, owner) in pairs {
            let lookup = digest.get(..LOOKUP_CHARS).unwrap_or(&digest).into();
            entries.entry(lookup).or_default().push((digest, owner));
        }
        Self { entries }
    }

    fn find(&self, digest: &str) -> Option<T> {
        let candidates = self.entries.get(digest.get(..LOOKUP_CHARS)?)?;
        let digest_matches = |candidate: &str| {
            bool::from(candidate.as_bytes().ct_eq(digest.as_bytes()))
        };
        candidates
            .iter()
            .find(|(candidate, _)| digest_matches(candidate))
            .map(|(_, owner)| owner.clone())
    }
}

#[derive(Debug)]
struct CredentialIndex {
    fleet: Arc<FleetState>,
    workspaces: DigestIndex<WorkspaceId>,
    operators: DigestIndex<(OperatorName, OperatorRole)>,
}

impl CredentialIndex {
    fn new(fleet: Arc<FleetState>) -> Self {
        let workspaces = fleet.workspaces.iter().flat_map(|(id, rule)| {
            let digests = rule.key_digests.iter().cloned();
            digests.map(move |digest| (digest, id.clone()))
        });
        let operators = fleet.operators.iter().map(|(name, rule)| {
            (rule.key_digest.clone(), (name.clone(), rule.role))
        });
        Self {
            workspaces: DigestIndex::new(workspaces),
            operators: DigestIndex::new(operators),
            fleet: fleet.clone(),
        }
    }
}

/// Index of the keys in one configuration, rebuilt when a lookup is made with
/// another configuration.
#[derive(Debug, Default)]
pub struct CredentialCache {
    index: Mutex<Option<Arc<CredentialIndex>>>,
}

impl CredentialCache {
    /// Finds the workspace that a request's key belongs to.
    pub fn workspace(
        &self,
        fleet: &Arc<FleetState>,
        headers: &HeaderMap,
    ) -> Result<WorkspaceId, Refusal> {
        let digest = bearer_digest(headers)?;
        let found = self.index(fleet).workspaces.find(&digest);
        found.ok_or_else(|| unauthenticated("the key is not known"))
    }

    /// Finds the operator that a request's key belongs to, and its role.
    pub fn operator(
        &self,
        fleet: &Arc<FleetState>,
        headers: &HeaderMap,
    ) -> Result<(OperatorName, OperatorRole), Refusal> {
        let digest = bearer_digest(headers)?;
        let found = self.index(fleet).operators.find(&digest);
        found.ok_or_else(|| unauthenticated("the key is not known"))
    }

    fn index(&self, fleet: &Arc<FleetState>) -> Arc<CredentialIndex> {
        let mut index =
            self.index.lock().unwrap_or_else(PoisonError::into_inner);
        match &*index {
            Some(index) if Arc::ptr_eq(&index.fleet, fleet) => index.clone(),
            _ => {
                let new = Arc::new(CredentialIndex::new(fleet.clone()));
                *index = Some(new.clone());
                new
            }
        }
    }
}

fn bearer_digest(headers: &HeaderMap) -> Result<String, Refusal> {
    let value = headers.get(header::AUTHORIZATION).ok_or_else(|| {
        unauthenticated("the header authorization: Bearer KEY is missing")
    })?;
    let key = value
        .as_bytes()
        .split_at_checked("Bearer ".len())
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(b"Bearer "))
        .ok_or_else(|| {
            unauthenticated("the header authorization is not Bearer KEY")
        })?
        .1;
    Ok(key_digest(key))
}

fn unauthenticated(message: &str) -> Refusal {
    Refusal::new(RefusalCode::Unauthenticated, message)
}
