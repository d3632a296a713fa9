//! The fencing token of a term's calls to workers.

/// Fencing token of the calls that are sent now, and the value that it may rise to.
///
/// A term begins with the revision of its leader key. Each commit of the term returns a later revision
/// of the store, and the next leader's term is later than all of them. So the token of a term may rise
/// to the revision of any of its commits, and stays below the tokens of later terms.
///
/// ```
/// use daisymast_scheduler::fencing;
/// let mut fencing = fencing::Fencing::new(40);
/// assert!(!fencing.raise_above(40), "no commit has been confirmed since");
/// fencing.on_committed(43);
/// assert!(fencing.raise_above(40));
/// assert_eq!(fencing.token(), 43);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Fencing {
    token: u64,
    /// Latest revision of the store that a commit of the term has returned.
    revision: u64,
}

impl Fencing {
    /// Creates the token of a term.
    pub fn new(term: u64) -> Self {
        Self {
            token: term,
            revision: term,
        }
    }

    /// Returns the token of calls that are sent now.
    pub fn token(self) -> u64 {
        self.token
    }

    /// Records the revision of the store that a commit of the term has returned.
    pub fn on_committed(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Raises the token above that of earlier calls, if a later revision is known. Returns whether the
    /// token is above it now.
    pub fn raise_above(&mut self, earlier: u64) -> bool {
        if self.token <= earlier {
            self.token = self.revision;
        }
        self.token > earlier
    }
}
