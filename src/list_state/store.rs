use std::fmt;

use prost::Message;

use super::{
    Fetch, Subject, SubjectUpdate, Update, VersionHistory, Versions,
    version_history::Image as VersionHistoryImage,
};
use crate::{
    list::{Book, List},
    stop,
};

/// The version histories of all subjects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Store {
    plans: VersionHistory,
    allowances: VersionHistory,
    stops: VersionHistory,
}

/// Why an update was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// The sender has an older version of some subject.
    SenderBehind(Versions),
    /// The update does not apply to this store's versions or is damaged.
    Inapplicable(String),
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SenderBehind(versions) => write!(
                f,
                "the sender has older versions, plans {} and allowances {}; ask another peer",
                versions.plans, versions.allowances
            ),
            Self::Inapplicable(detail) => write!(f, "{detail}; ask for a snapshot"),
        }
    }
}

impl std::error::Error for UpdateError {}

/// The encoded form of a store in a snapshot.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Image {
    #[prost(message, required, tag = "1")]
    plans: VersionHistoryImage,
    #[prost(message, required, tag = "2")]
    allowances: VersionHistoryImage,
    #[prost(message, required, tag = "3")]
    stops: VersionHistoryImage,
}

impl Store {
    /// The newest version of each subject.
    pub fn versions(&self) -> Versions {
        Versions {
            plans: self.plans.version(),
            allowances: self.allowances.version(),
            stops: self.stops.version(),
        }
    }

    /// The version history of one subject.
    pub fn history(&self, subject: Subject) -> &VersionHistory {
        match subject {
            Subject::Plans => &self.plans,
            Subject::Allowances => &self.allowances,
            Subject::Stops => &self.stops,
        }
    }

    pub(super) fn history_mut(&mut self, subject: Subject) -> &mut VersionHistory {
        match subject {
            Subject::Plans => &mut self.plans,
            Subject::Allowances => &mut self.allowances,
            Subject::Stops => &mut self.stops,
        }
    }

    /// Both lists.
    ///
    /// # Errors
    ///
    /// If an entry cannot be read, as after a downgrade; the message names the entry.
    pub fn book(&self) -> Result<Book, String> {
        let plans: List<_> = self.plans.list()?;
        Ok(Book::new(plans, self.allowances.list()?))
    }

    /// The planned stops.
    pub fn stops(&self) -> stop::PlannedStops {
        let list = self.stops.list().unwrap_or_default();
        list.entries.into_iter().collect()
    }

    /// The update that a peer needs, according to its [`Fetch`].
    ///
    /// ```
    /// use pomelogate::list_state::{Fetch, Store};
    ///
    /// assert!(Store::default().updates_since(&Fetch::default()).subject_updates.is_empty());
    /// ```
    pub fn updates_since(&self, fetch: &Fetch) -> Update {
        let updates = Subject::ALL
            .iter()
            .filter_map(|subject| {
                self.history(*subject).update_since(*subject, fetch.versions.of(*subject))
            })
            .collect();
        Update { versions: self.versions(), subject_updates: updates }
    }

    /// Snapshots of the newest versions.
    pub fn full_update(&self) -> Update {
        let updates = Subject::ALL.iter().map(|subject| SubjectUpdate {
            subject: *subject as i32,
            ..self.history(*subject).full_update()
        });
        Update { versions: self.versions(), subject_updates: updates.collect() }
    }

    /// Applies an update, and returns whether any version became newer. Nothing changes on an error.
    ///
    /// # Errors
    ///
    /// If the sender is behind in some subject, or the update does not apply.
    pub fn apply(&mut self, update: &Update) -> Result<bool, UpdateError> {
        let before = self.versions();
        if !update.versions.covers(&before) {
            return Err(UpdateError::SenderBehind(update.versions));
        }
        let mut after = self.clone();
        for subject_update in &update.subject_updates {
            let subject = Subject::try_from(subject_update.subject).map_err(|_| {
                UpdateError::Inapplicable(format!("unknown subject {}", subject_update.subject))
            })?;
            after
                .history_mut(subject)
                .apply(subject_update)
                .map_err(|detail| UpdateError::Inapplicable(format!("{subject:?}: {detail}")))?;
        }
        if after.versions() != update.versions {
            return Err(UpdateError::Inapplicable(
                "the updates do not lead to the sender's versions".to_owned(),
            ));
        }
        *self = after;
        Ok(self.versions() != before)
    }

    pub(super) fn image(&self) -> Image {
        Image {
            plans: self.plans.image(),
            allowances: self.allowances.image(),
            stops: self.stops.image(),
        }
    }

    pub(super) fn from_image(image: Image) -> Self {
        Self {
            plans: VersionHistory::from_image(image.plans),
            allowances: VersionHistory::from_image(image.allowances),
            stops: VersionHistory::from_image(image.stops),
        }
    }
}
