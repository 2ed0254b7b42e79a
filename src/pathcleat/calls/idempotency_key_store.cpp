// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idempotency_key_store.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "pathcleat/core/random_token.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/store/read_row.hpp"

namespace pathcleat {
namespace {

// Clocks of hosts may differ by this much before a repeat is told "unknown"
// of a request that still runs; it is never run a second time either way.
constexpr std::uint64_t kClockSkewMicros = 5'000'000;
// Settling is tried for about a minute.
constexpr int kSettleTries = 30;
constexpr std::chrono::seconds kSettleAgainAfter{2};

}  // namespace

struct IdempotencyKeyStore::Claiming {
  KeyClaim claim;
  KeyClaimRequest request;
  HttpResponse kept;
  std::function<void(ClaimResult)> callback;

  IdempotencyKeyRow Row() const {
    IdempotencyKeyRow row;
    row.token = claim.token();
    row.fingerprint = request.fingerprint;
    row.deadline_wall_micros = request.deadline_wall_micros;
    return row;
  }
};

IdempotencyKeyStore::IdempotencyKeyStore(boost::asio::io_context& loop,
                                         TableStore& store,
                                         EventLog& events)
    : loop_(loop), store_(store), events_(events) {}

void IdempotencyKeyStore::After(std::function<void()> step) {
  auto timer =
      std::make_shared<boost::asio::steady_timer>(loop_, kSettleAgainAfter);
  timer->async_wait(
      [timer, step = std::move(step)](const boost::system::error_code& error) {
        if (!error) {
          step();
        }
      });
}

void IdempotencyKeyStore::Claim(const KeyClaimRequest& request,
                                std::function<void(ClaimResult)> callback) {
  auto claiming = std::make_shared<Claiming>(
      Claiming{KeyClaim(RandomToken(), request.fingerprint),
               request,
               {},
               std::move(callback)});
  Step(claiming, claiming->claim.Start());
}

void IdempotencyKeyStore::Step(const ClaimingPtr& claiming, KeyAction action) {
  if (action == KeyAction::kPut) {
    Put(claiming);
    return;
  }
  if (action == KeyAction::kRead) {
    Read(claiming);
    return;
  }
  ClaimResult result;
  result.action = action;
  result.stored_response = claiming->kept;
  result.claimed = {claiming->request.row_name, claiming->Row(),
                    claiming->claim.version()};
  claiming->callback(std::move(result));
}

void IdempotencyKeyStore::Put(const ClaimingPtr& claiming) {
  store_.Write(claiming->request.row_name, 0, ToJson(claiming->Row()),
               [this, claiming](const TableWriteResult& write) {
                 Step(claiming,
                      claiming->claim.OnPut(write.outcome, write.version));
               });
}

void IdempotencyKeyStore::Read(const ClaimingPtr& claiming) {
  ReadRow(store_, claiming->request.row_name,
          [this, claiming](const RowReadResult& read) {
            if (read.outcome != StoreOutcome::kDone) {
              Step(claiming, KeyClaim::OnReadFailed());
              return;
            }
            ObservedKey observed;
            observed.version = read.row.version;
            if (const auto row = IdempotencyKeyRowFromJson(read.row.value)) {
              observed.state = row->state;
              observed.token = row->token;
              observed.fingerprint = row->fingerprint;
              observed.is_overdue =
                  WallMicros() > row->deadline_wall_micros + kClockSkewMicros;
              claiming->kept = row->answer;
            }
            Step(claiming, claiming->claim.OnRead(observed));
          });
}

void IdempotencyKeyStore::MarkFinished(ClaimedKey key,
                                       const HttpResponse& answer) {
  key.row.state = KeyState::kFinished;
  key.row.answer = answer;
  ++pending_;
  Settle(key, kSettleTries);
}

void IdempotencyKeyStore::MarkUnknown(ClaimedKey key) {
  key.row.state = KeyState::kUnknown;
  ++pending_;
  Settle(key, kSettleTries);
}

void IdempotencyKeyStore::Release(const ClaimedKey& key) {
  ++pending_;
  Delete(key, kSettleTries);
}

void IdempotencyKeyStore::Settle(const ClaimedKey& key, int tries_left) {
  store_.Write(
      key.row_name, key.version, ToJson(key.row),
      [this, key, tries_left](const TableWriteResult& write) {
        // A conflict means that an earlier try, whose answer was lost, had
        // taken effect: nobody else writes a claimed row.
        const bool done = write.outcome == StoreOutcome::kDone ||
                          write.outcome == StoreOutcome::kConflict;
        if (done || tries_left == 0) {
          --pending_;
        }
        if (done) {
          return;
        }
        if (tries_left == 0) {
          events_.Record(EventCode::kKeyWriteFailed, key.row_name,
                         "the answer could not be kept; repeats are told "
                         "unknown");
          return;
        }
        After([this, key, tries_left] { Settle(key, tries_left - 1); });
      });
}

void IdempotencyKeyStore::Delete(const ClaimedKey& key, int tries_left) {
  store_.Delete(
      key.row_name, key.version,
      [this, key, tries_left](const TableWriteResult& write) {
        const bool done = write.outcome == StoreOutcome::kDone ||
                          write.outcome == StoreOutcome::kConflict;
        if (done || tries_left == 0) {
          --pending_;
          return;
        }
        After([this, key, tries_left] { Delete(key, tries_left - 1); });
      });
}

}  // namespace pathcleat
