//! Evacuations: data centres whose targets get no new requests.
//!
//! Owns: the form of the list. Relies on: the platform for its versions.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, ObjectVersion};

/// The evacuated data centres, as the platform lists them at a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Version of the list, 0 where none has been read.
    pub at: ObjectVersion,
    /// The data centres whose targets get no new requests.
    pub data_centres: BTreeSet<DataCentreId>,
}
