//! Checks the organisations that a configuration declares.
//!
//! A part that cannot be used never widens what an organisation may do: a key that cannot be read
//! opens nothing, and a cap that cannot be read never means that there is no limit.

use std::fmt;

use daisymast_types::{collections, ids};

use crate::api_key;
use crate::directory;
use crate::organisation;

/// Weight of an organisation whose weight was never valid.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Maximum number of characters of a name that a message repeats.
const MAX_QUOTED_CHARS: usize = 60;

/// A part of a declaration.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Declared<T> {
    /// The part is absent.
    #[default]
    Missing,
    /// The part is present but cannot be used.
    Malformed,
    /// The part is valid.
    Valid(T),
}

impl<T> Declared<T> {
    /// Returns the value if it is valid, and the problem otherwise.
    fn check(self) -> Result<T, Problem> {
        match self {
            Self::Missing => Err(Problem::Missing),
            Self::Malformed => Err(Problem::Malformed),
            Self::Valid(value) => Ok(value),
        }
    }
}

/// Limits of an organisation as declared. `Valid(None)` means that there is no limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapDeclaration {
    /// Thousandths of a core.
    pub millicores: Declared<Option<u32>>,
    /// Mebibytes of memory.
    pub memory_mib: Declared<Option<u32>>,
    /// Number of accelerators.
    pub accelerators: Declared<Option<u16>>,
}

/// An organisation as declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declaration {
    /// Name of the organisation.
    pub name: Declared<ids::Organisation>,
    /// Digests of its API keys.
    pub keys: Declared<Vec<Declared<api_key::KeyDigest>>>,
    /// Its weight.
    pub weight: Declared<f64>,
    /// Its cap.
    pub cap: Declared<CapDeclaration>,
}

/// Part of a declaration that has a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The list of organisations.
    List,
    /// The entry of an organisation, or its name.
    Organisation,
    /// An API key, or the list of them.
    Key,
    /// The cap.
    Cap,
    /// The weight.
    Weight,
}

impl Part {
    /// Returns the name of the part in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::List => "organisations",
            Self::Organisation => "organisation",
            Self::Key => "api_key",
            Self::Cap => "cap",
            Self::Weight => "weight",
        }
    }
}

/// What is wrong with a part of a declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The part is absent.
    Missing,
    /// The part cannot be decoded or is out of range.
    Malformed,
    /// The part occurs more than once in its organisation or in the list.
    Repeated,
    /// The key is declared by two organisations, so that it belongs to neither.
    Shared,
}

/// A fault of a declaration. It never contains a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Position of the organisation in the list, counted from 1; 0 for the list itself.
    pub position: usize,
    /// Name of the organisation, if it has a valid one.
    pub organisation: Option<ids::Organisation>,
    /// Part that has the fault.
    pub part: Part,
    /// What is wrong with it.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let problem = match self.problem {
            Problem::Missing => "missing",
            Problem::Malformed => "malformed",
            Problem::Repeated => "repeated",
            Problem::Shared => "declared by two organisations",
        };
        if self.part != Part::List {
            write!(f, "organisation {}", self.position)?;
            if let Some(name) = &self.organisation {
                let quoted: String = name.as_str().chars().take(MAX_QUOTED_CHARS).collect();
                write!(f, " ({quoted:?})")?;
            }
            f.write_str(": ")?;
        }
        write!(f, "{} {problem}", self.part.name())
    }
}

/// Returns the organisations in force, and the faults of their declarations.
///
/// Without a readable list there are no organisations, so that no key is valid. An entry without a
/// name, or with the name of an earlier one, is left out. A cap or weight with a fault keeps the
/// value that it has in `last`; without one, a cap allows nothing, and the weight is 1.
///
/// ```
/// use daisymast_organisations::declaration::{self, Declaration, Declared};
/// let parts = Declaration { name: Declared::Valid("parts".into()), ..Declaration::default() };
/// let (directory, faults) = declaration::resolve(Declared::Valid(vec![parts]), None);
/// assert_eq!(directory.get(&"parts".into()).unwrap().cap.millicores, Some(0));
/// assert_eq!(faults[0].to_string(), "organisation 1 (\"parts\"): api_key missing");
/// ```
pub fn resolve(
    declared: Declared<Vec<Declaration>>,
    last: Option<&directory::Directory>,
) -> (directory::Directory, Vec<Fault>) {
    let mut faults = Vec::new();
    let declarations = declared.check().unwrap_or_else(|problem| {
        faults.push(Fault {
            position: 0,
            organisation: None,
            part: Part::List,
            problem,
        });
        Vec::new()
    });
    let mut organisations = Vec::new();
    let mut names = collections::FastSet::default();
    for (position, declaration) in (1..).zip(declarations) {
        let mut report = |organisation: Option<&ids::Organisation>, part, problem| {
            faults.push(Fault {
                position,
                organisation: organisation.cloned(),
                part,
                problem,
            });
        };
        match declaration.name.clone().check() {
            Ok(name) if !names.insert(name.clone()) => {
                report(Some(&name), Part::Organisation, Problem::Repeated);
            }
            Ok(name) => {
                let last = last.and_then(|last| last.get(&name));
                let report = |part, problem| report(Some(&name), part, problem);
                let organisation = resolve_organisation(declaration, &name, last, report);
                organisations.push((position, organisation));
            }
            Err(problem) => report(None, Part::Organisation, problem),
        }
    }
    remove_shared_keys(&mut organisations, &mut faults);
    let organisations = organisations.into_iter().map(|(_, entry)| entry).collect();
    (directory::Directory::new(organisations), faults)
}

fn resolve_organisation(
    declaration: Declaration,
    name: &ids::Organisation,
    last: Option<&organisation::Organisation>,
    mut report: impl FnMut(Part, Problem),
) -> organisation::Organisation {
    let keys = resolve_keys(declaration.keys, |problem| report(Part::Key, problem));
    let weight = declaration.weight.check().unwrap_or_else(|problem| {
        report(Part::Weight, problem);
        last.map_or(DEFAULT_WEIGHT, |last| last.weight)
    });
    let cap = resolve_cap(declaration.cap, last.map(|last| last.cap), |problem| {
        report(Part::Cap, problem);
    });
    organisation::Organisation {
        name: name.clone(),
        keys,
        weight,
        cap,
    }
}

fn resolve_keys(
    declared: Declared<Vec<Declared<api_key::KeyDigest>>>,
    mut report: impl FnMut(Problem),
) -> Vec<api_key::KeyDigest> {
    let declared = match declared.check() {
        Ok(declared) => declared,
        Err(problem) => {
            report(problem);
            return Vec::new();
        }
    };
    let mut keys = Vec::with_capacity(declared.len());
    for key in declared {
        match key.check() {
            Ok(key) if keys.contains(&key) => report(Problem::Repeated),
            Ok(key) => keys.push(key),
            Err(problem) => report(problem),
        }
    }
    keys
}

/// Returns the cap, with the parts of `last` in place of those that have a fault, or with zero without one.
/// Reports one fault at most, however many parts have one.
fn resolve_cap(
    declared: Declared<CapDeclaration>,
    last: Option<organisation::Cap>,
    mut report: impl FnMut(Problem),
) -> organisation::Cap {
    let fallback = last.unwrap_or(organisation::Cap::NOTHING);
    let declared = match declared.check() {
        Ok(declared) => declared,
        Err(problem) => {
            report(problem);
            return fallback;
        }
    };
    let mut fault = None;
    let millicores = declared.millicores.check();
    let memory_mib = declared.memory_mib.check();
    let accelerators = declared.accelerators.check();
    let mut note = |problem| {
        fault.get_or_insert(problem);
    };
    let cap = organisation::Cap {
        millicores: millicores.unwrap_or_else(|problem| {
            note(problem);
            fallback.millicores
        }),
        memory_mib: memory_mib.unwrap_or_else(|problem| {
            note(problem);
            fallback.memory_mib
        }),
        accelerators: accelerators.unwrap_or_else(|problem| {
            note(problem);
            fallback.accelerators
        }),
    };
    if let Some(problem) = fault {
        report(problem);
    }
    cap
}

/// Removes the keys that more than one organisation declares.
fn remove_shared_keys(
    organisations: &mut [(usize, organisation::Organisation)],
    faults: &mut Vec<Fault>,
) {
    let mut holders = collections::FastMap::default();
    for (_, entry) in organisations.iter() {
        for key in &entry.keys {
            *holders.entry(*key).or_insert(0_usize) += 1;
        }
    }
    for (position, entry) in organisations {
        let before = entry.keys.len();
        entry.keys.retain(|key| holders.get(key) == Some(&1));
        for _ in entry.keys.len()..before {
            faults.push(Fault {
                position: *position,
                organisation: Some(entry.name.clone()),
                part: Part::Key,
                problem: Problem::Shared,
            });
        }
    }
}
