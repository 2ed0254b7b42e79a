// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/rollout_writer.hpp"

#include <utility>

namespace pathcleat {
namespace {

// A host waits for this time per host that is ahead of it. In that time the
// host ahead can scan and write the store. If the first three hosts are dead,
// the fourth acts after 0.6 s.
constexpr Duration kDelayPerHostAhead{200'000};
// A host does nothing if more than this number of hosts are ahead of it, as so
// many hosts are not expected to die at the same moment.
constexpr int kMaxHostsAhead = 30;

RolloutOutcome OutcomeOf(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kRunning:
    case RolloutPhase::kPromoted:
      return RolloutOutcome::kRunning;
    case RolloutPhase::kCompleted:
      return RolloutOutcome::kCompleted;
    case RolloutPhase::kRolledBack:
      return RolloutOutcome::kRolledBack;
  }
  return RolloutOutcome::kRunning;
}

RolloutStatus StatusOf(const std::string& service, const RolloutState& state) {
  return {service, state.version, OutcomeOf(state.phase)};
}

}  // namespace

RolloutWriter::RolloutWriter(const std::string& host,
                             CommandLog& commands,
                             RolloutStatusStore& statuses,
                             EventLog& events)
    : host_(host), commands_(commands), statuses_(statuses), events_(events) {}

void RolloutWriter::Tick(const std::vector<ProposedStep>& due,
                         int ahead,
                         Time now) {
  if (ahead > kMaxHostsAhead) {
    return;
  }
  std::map<std::string, Time> since;
  for (const ProposedStep& proposed : due) {
    const std::string& service = proposed.step.service;
    const auto found = due_since_.find(service);
    since[service] = found == due_since_.end() ? now : found->second;
    if (now - since[service] >= kDelayPerHostAhead * ahead &&
        !decision_in_flight_) {
      Decide(proposed);
    }
  }
  due_since_ = std::move(since);
  for (const auto& [service, state] : commands_.state().rollouts) {
    PublishedStatus& status = published_[service];
    if (status.order != state.order_id || status.phase != state.phase) {
      status = {now, status.in_flight, false, state.order_id, state.phase};
    }
    if (!status.published && !status.in_flight &&
        now - status.since >= kDelayPerHostAhead * ahead) {
      Publish(service, state);
    }
  }
}

void RolloutWriter::Decide(const ProposedStep& due) {
  decision_in_flight_ = true;
  const std::string id =
      "rollout-" + host_ + "-" + std::to_string(next_command_number_++);
  commands_.Submit(due.step, id, [this, due](const CommandResult& result) {
    decision_in_flight_ = false;
    if (result.accepted) {
      events_.Record(EventCode::kRolloutStep, due.step.service, due.reason,
                     {{field::kVersion, due.step.version},
                      {field::kPhase, ToString(due.step.phase)},
                      IntegerField(field::kOrder, due.step.order_id)});
    }
  });
}

void RolloutWriter::Publish(const std::string& service,
                            const RolloutState& state) {
  published_[service].in_flight = true;
  const RolloutStatus wanted = StatusOf(service, state);
  statuses_.Read(service, [this, wanted](const RolloutStatusReadResult& read) {
    OnRead(wanted, read);
  });
}

// Whether a status still matches the rollout's state. A newer decision may have
// come into force before the store answered.
bool RolloutWriter::IsCurrent(const RolloutStatus& wanted) const {
  const auto state = commands_.state().rollouts.find(wanted.service);
  return state != commands_.state().rollouts.end() &&
         StatusOf(wanted.service, state->second) == wanted;
}

// The command log is read after the status row. A newer decision whose status
// was stored before the row was read is then known here, and a status stored
// later changes the row's version, so that the write below fails. So a host
// that missed decisions, for instance because it was paused, never replaces a
// newer status by an older one.
void RolloutWriter::OnRead(const RolloutStatus& wanted,
                           const RolloutStatusReadResult& read) {
  PublishedStatus& status = published_[wanted.service];
  const bool answered = read.outcome == StoreOutcome::kDone;
  if (!answered || !IsCurrent(wanted) || read.status == wanted) {
    status.in_flight = false;
    status.published = answered && IsCurrent(wanted);
    return;
  }
  commands_.ReadNewer(
      [this, wanted, version = read.version](StoreOutcome outcome) {
        if (outcome == StoreOutcome::kDone && IsCurrent(wanted)) {
          Store(wanted, version);
        } else {
          published_[wanted.service].in_flight = false;
        }
      });
}

void RolloutWriter::Store(const RolloutStatus& wanted,
                          std::uint64_t expected_version) {
  // The next read shows whether the write succeeded.
  statuses_.Write(wanted, expected_version,
                  [this, wanted](const TableWriteResult& write) {
                    PublishedStatus& status = published_[wanted.service];
                    status.in_flight = false;
                    if (write.outcome == StoreOutcome::kDone) {
                      events_.Record(EventCode::kRolloutTold, wanted.service,
                                     "rollout status stored for operators",
                                     {{field::kVersion, wanted.version}});
                    }
                  });
}

}  // namespace pathcleat
