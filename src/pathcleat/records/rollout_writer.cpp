// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/rollout_writer.hpp"

#include <utility>

namespace pathcleat {
namespace {

// A host that is ahead is given so long before the next one acts: a scan and a
// write at the store. With the first three dead that is 0.6 s.
constexpr Duration kTurn{200'000};
// Hosts beyond do nothing: so many that die at one moment are too many.
constexpr int kMostTurns = 30;

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
  if (ahead > kMostTurns) {
    return;
  }
  std::map<std::string, Time> since;
  for (const ProposedStep& one : due) {
    const std::string& service = one.step.service;
    const auto known = due_since_.find(service);
    since[service] = known == due_since_.end() ? now : known->second;
    if (now - since[service] >= kTurn * ahead && !deciding_) {
      Decide(one);
    }
  }
  due_since_ = std::move(since);
  for (const auto& [service, state] : commands_.state().rollouts) {
    ToldStatus& told = told_[service];
    if (told.order != state.order_id || told.phase != state.phase) {
      told = {now, told.asking, false, state.order_id, state.phase};
    }
    if (!told.told && !told.asking && now - told.since >= kTurn * ahead) {
      Tell(service, state);
    }
  }
}

void RolloutWriter::Decide(const ProposedStep& due) {
  deciding_ = true;
  const std::string id =
      "rollout-" + host_ + "-" + std::to_string(next_command_++);
  commands_.Submit(due.step, id, [this, due](const CommandResult& result) {
    deciding_ = false;
    if (result.accepted) {
      events_.Record(EventCode::kRolloutStep, due.step.service, due.reason,
                     {{field::kVersion, due.step.version},
                      {field::kPhase, ToString(due.step.phase)},
                      IntegerField(field::kOrder, due.step.order_id)});
    }
  });
}

void RolloutWriter::Tell(const std::string& service,
                         const RolloutState& state) {
  told_[service].asking = true;
  const RolloutStatus wanted = StatusOf(service, state);
  statuses_.Read(service, [this, wanted](const RolloutStatusReadResult& read) {
    OnRead(wanted, read);
  });
}

// A newer decision may have come while the store took its time.
bool RolloutWriter::IsCurrent(const RolloutStatus& wanted) const {
  const auto state = commands_.state().rollouts.find(wanted.service);
  return state != commands_.state().rollouts.end() &&
         StatusOf(wanted.service, state->second) == wanted;
}

void RolloutWriter::OnRead(const RolloutStatus& wanted,
                           const RolloutStatusReadResult& read) {
  ToldStatus& told = told_[wanted.service];
  const bool known = read.outcome == StoreOutcome::kDone;
  if (!known || !IsCurrent(wanted) || read.status == wanted) {
    told.asking = false;
    told.told = known && IsCurrent(wanted);
    return;
  }
  // Whatever comes of it, the next read shows it.
  statuses_.Write(wanted, read.version,
                  [this, wanted](const TableWriteResult& write) {
                    ToldStatus& told = told_[wanted.service];
                    told.asking = false;
                    if (write.outcome == StoreOutcome::kDone) {
                      events_.Record(EventCode::kRolloutTold, wanted.service,
                                     "operators read it in the store",
                                     {{field::kVersion, wanted.version}});
                    }
                  });
}

}  // namespace pathcleat
