// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idempotency_key_store.hpp"
#include "pathcleat/core/saturated.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "pathcleat/core/random_token.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/store/read_row.hpp"

namespace pathcleat {
namespace {

// Largest expected difference between the clocks of hosts. With a larger
// difference, a repeat of a request that still runs may be answered as
// "unknown"; the request is never run a second time either way.
constexpr std::uint64_t kClockSkewMicros = 5'000'000;
// A write that settles or releases a key is retried for about a minute.
constexpr int kMaxSettleRetries = 30;
constexpr std::chrono::seconds kSettleRetryInterval{2};

}  // namespace

struct IdempotencyKeyStore::PendingClaim {
  KeyClaim claim;
  KeyClaimRequest request;
  HttpResponse stored_response;
  std::function<void(ClaimResult)> callback;

  IdempotencyKeyRow MakeRow() const {
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

void IdempotencyKeyStore::RetryLater(std::function<void()> retry) {
  auto timer =
      std::make_shared<boost::asio::steady_timer>(loop_, kSettleRetryInterval);
  timer->async_wait([timer, retry = std::move(retry)](
                        const boost::system::error_code& error) {
    if (!error) {
      retry();
    }
  });
}

void IdempotencyKeyStore::Claim(const KeyClaimRequest& request,
                                std::function<void(ClaimResult)> callback) {
  auto pending_claim = std::make_shared<PendingClaim>(
      PendingClaim{KeyClaim(RandomToken(), request.fingerprint),
                   request,
                   {},
                   std::move(callback)});
  Step(pending_claim, pending_claim->claim.Start());
}

void IdempotencyKeyStore::Step(const PendingClaimPtr& pending_claim,
                               KeyAction action) {
  if (action == KeyAction::kPut) {
    Put(pending_claim);
    return;
  }
  if (action == KeyAction::kRead) {
    Read(pending_claim);
    return;
  }
  ClaimResult result;
  result.action = action;
  result.stored_response = pending_claim->stored_response;
  result.claimed = {pending_claim->request.row_name, pending_claim->MakeRow(),
                    pending_claim->claim.version()};
  pending_claim->callback(std::move(result));
}

void IdempotencyKeyStore::Put(const PendingClaimPtr& pending_claim) {
  store_.Write(pending_claim->request.row_name, 0,
               ToJson(pending_claim->MakeRow()),
               [this, pending_claim](const TableWriteResult& write) {
                 Step(pending_claim,
                      pending_claim->claim.OnPut(write.outcome, write.version));
               });
}

void IdempotencyKeyStore::Read(const PendingClaimPtr& pending_claim) {
  ReadRow(store_, pending_claim->request.row_name,
          [this, pending_claim](const RowReadResult& read) {
            if (read.outcome != StoreOutcome::kDone) {
              Step(pending_claim, KeyClaim::OnReadFailed());
              return;
            }
            ObservedKey observed;
            observed.version = read.row.version;
            if (const auto row = IdempotencyKeyRowFromJson(read.row.value)) {
              observed.state = row->state;
              observed.token = row->token;
              observed.fingerprint = row->fingerprint;
              observed.is_overdue =
                  WallMicros() >
                  AddSaturated(row->deadline_wall_micros, kClockSkewMicros);
              pending_claim->stored_response = row->answer;
            }
            Step(pending_claim, pending_claim->claim.OnRead(observed));
          });
}

void IdempotencyKeyStore::MarkFinished(ClaimedKey key,
                                       const HttpResponse& answer) {
  key.row.state = KeyState::kFinished;
  key.row.answer = answer;
  ++pending_writes_;
  Settle(key, kMaxSettleRetries);
}

void IdempotencyKeyStore::MarkUnknown(ClaimedKey key) {
  key.row.state = KeyState::kUnknown;
  ++pending_writes_;
  Settle(key, kMaxSettleRetries);
}

void IdempotencyKeyStore::Release(const ClaimedKey& key) {
  ++pending_writes_;
  Delete(key, kMaxSettleRetries);
}

void IdempotencyKeyStore::Settle(const ClaimedKey& key, int retries_left) {
  store_.Write(
      key.row_name, key.version, ToJson(key.row),
      [this, key, retries_left](const TableWriteResult& write) {
        // A conflict means that an earlier attempt, whose response was lost,
        // has taken effect: no other process writes a claimed row.
        const bool done = write.outcome == StoreOutcome::kDone ||
                          write.outcome == StoreOutcome::kConflict;
        if (done || retries_left == 0) {
          --pending_writes_;
        }
        if (done) {
          return;
        }
        if (retries_left == 0) {
          events_.Record(EventCode::kKeyWriteFailed, key.row_name,
                         "the outcome could not be stored; repeated requests "
                         "are answered as unknown");
          return;
        }
        RetryLater(
            [this, key, retries_left] { Settle(key, retries_left - 1); });
      });
}

void IdempotencyKeyStore::Delete(const ClaimedKey& key, int retries_left) {
  store_.Delete(key.row_name, key.version,
                [this, key, retries_left](const TableWriteResult& write) {
                  const bool done = write.outcome == StoreOutcome::kDone ||
                                    write.outcome == StoreOutcome::kConflict;
                  if (done || retries_left == 0) {
                    --pending_writes_;
                    return;
                  }
                  RetryLater([this, key, retries_left] {
                    Delete(key, retries_left - 1);
                  });
                });
}

}  // namespace pathcleat
