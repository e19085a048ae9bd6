//! Target lists with the start and the software version of each target instance.
//!
//! The codec is positional, so [`TargetInstancesPush`] cannot gain a field and the versions are sent as a separate
//! list. A fleet has few versions, so each is sent once and the targets refer to it by number.
//!
//! Owns: the format of these messages. Relies on: [`TargetInstancesPush`].

use serde::{Deserialize, Serialize};

use super::instances::listed_targets;
use super::{TargetInstancesPush, TargetsPush};
use crate::TargetVersion;

/// A [`TargetsPush`] with the starts and versions of its targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetVersionsPush {
    #[serde(rename = "lives")]
    instances: TargetInstancesPush,
    /// The distinct versions of the targets.
    versions: Vec<TargetVersion>,
    /// For each listed target the number of its version in `versions`, from 1; 0 where the target reports none.
    #[serde(rename = "places")]
    version_numbers: Vec<u32>,
}

impl TargetVersionsPush {
    /// Splits a push into the targets, their starts and their versions for sending.
    pub fn new(mut push: TargetsPush) -> TargetVersionsPush {
        let mut versions: Vec<TargetVersion> = Vec::new();
        let mut version_numbers = Vec::new();
        for target in listed_targets(&mut push) {
            let number = target
                .entry
                .version
                .take()
                .map_or(0, |version| intern_version(&mut versions, version));
            version_numbers.push(number);
        }
        TargetVersionsPush { instances: TargetInstancesPush::new(push), versions, version_numbers }
    }

    /// Returns the push with starts and versions restored. Targets beyond the end of the list of numbers get no
    /// version.
    pub fn into_push(self) -> TargetsPush {
        let TargetVersionsPush { instances, versions, version_numbers } = self;
        let mut push = instances.into_push();
        for (target, number) in listed_targets(&mut push).zip(version_numbers) {
            let index = (number as usize).checked_sub(1);
            target.entry.version = index.and_then(|index| versions.get(index)).cloned();
        }
        push
    }
}

/// Returns the number of a version in the list, from 1, and appends the version where it is missing.
fn intern_version(versions: &mut Vec<TargetVersion>, version: TargetVersion) -> u32 {
    let known = versions.iter().position(|known| *known == version);
    let index = known.unwrap_or_else(|| {
        versions.push(version);
        versions.len() - 1
    });
    index as u32 + 1
}
