//! Sections: submissions, conflicts and resends.

use super::{ApplyOutcome, State, Submission};
use lycheehub_estate::{MergedSections, Section};
use lycheehub_types::SectionName;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use std::collections::{BTreeMap, VecDeque};

/// The number of first replies that are kept to answer resends.
const MAX_REPLIES_KEPT: usize = 20_000;

/// The current text of a section.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRecord {
    /// The index of the command that set the text.
    pub revision: u64,
    /// The operator who set it.
    pub operator: SmolStr,
    /// The id of the request that set it.
    pub request_id: SmolStr,
    /// The text.
    pub text: String,
    /// The parsed text.
    #[serde(skip)]
    pub parsed: Section,
}

/// The first replies by request id; the oldest are dropped first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionReplies {
    answers: BTreeMap<SmolStr, ApplyOutcome>,
    order: VecDeque<SmolStr>,
}

impl SubmissionReplies {
    /// Returns the id under which the reply to an operator's request is kept.
    pub fn id(operator: &str, request_id: &str) -> SmolStr {
        format_smolstr!("{operator}/{request_id}")
    }

    /// Returns the first reply to the request with this id.
    pub fn get(&self, id: &str) -> Option<&ApplyOutcome> {
        self.answers.get(id)
    }

    fn insert(&mut self, request_id: SmolStr, outcome: ApplyOutcome) {
        self.answers.insert(request_id.clone(), outcome);
        self.order.push_back(request_id);
        while self.order.len() > MAX_REPLIES_KEPT {
            let Some(oldest) = self.order.pop_front() else { return };
            self.answers.remove(&oldest);
        }
    }
}

impl State {
    pub(super) fn submit(&mut self, index: u64, submission: Submission) -> ApplyOutcome {
        let id = SubmissionReplies::id(&submission.operator, &submission.request_id);
        if let Some(first) = self.requests.get(&id) {
            return first.clone();
        }
        let outcome = self.submit_new(index, submission);
        self.requests.insert(id, outcome.clone());
        outcome
    }

    fn submit_new(&mut self, index: u64, submission: Submission) -> ApplyOutcome {
        let current = self.sections.get(&submission.section);
        let revision = current.map_or(0, |record| record.revision);
        if submission.base_revision != revision {
            let (operator, request_id) = current
                .map(|record| (record.operator.clone(), record.request_id.clone()))
                .unwrap_or_default();
            return ApplyOutcome::Conflict { revision, operator, request_id };
        }
        let (parsed, estate) = match self.check(&submission) {
            Ok(checked) => checked,
            Err(message) => return ApplyOutcome::Invalid { message },
        };
        let record = SectionRecord {
            revision: index,
            operator: submission.operator,
            request_id: submission.request_id,
            text: submission.text,
            parsed,
        };
        self.sections.insert(submission.section, record);
        self.estate = estate;
        self.revision = index;
        self.update_moves(index);
        ApplyOutcome::Accepted { revision: index }
    }

    /// Checks a submission against the current state without changing it.
    ///
    /// # Errors
    /// Returns what is wrong with the text, its author or its fit with the other sections.
    pub fn check(&self, submission: &Submission) -> Result<(Section, MergedSections), SmolStr> {
        let section = &submission.section;
        let parsed = lycheehub_estate::parse(&submission.text)
            .map_err(|error| format_smolstr!("{section}:{error}"))?;
        let current = self.sections.get(section).map(|record| &record.parsed.owner);
        let owner = current.unwrap_or(&parsed.owner);
        if *owner != submission.operator {
            return Err(format_smolstr!(
                "section {section:?} belongs to {owner:?}",
                section = section.as_str()
            ));
        }
        let mut sections = self.parsed_sections();
        sections.insert(section.clone(), parsed.clone());
        let estate =
            lycheehub_estate::merge(&sections).map_err(|error| format_smolstr!("{error}"))?;
        self.check_moves(&parsed)?;
        Ok((parsed, estate))
    }

    fn parsed_sections(&self) -> BTreeMap<SectionName, Section> {
        let pair =
            |(name, record): (&SectionName, &SectionRecord)| (name.clone(), record.parsed.clone());
        self.sections.iter().map(pair).collect()
    }

    /// Parses all section texts and merges the estate again, after the texts were replaced.
    pub(super) fn rebuild_estate(&mut self) {
        for record in self.sections.values_mut() {
            record.parsed = lycheehub_estate::parse(&record.text).unwrap_or_default();
        }
        self.estate = lycheehub_estate::merge(&self.parsed_sections()).unwrap_or_default();
    }
}
