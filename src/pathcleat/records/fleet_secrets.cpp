// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/fleet_secrets.hpp"

#include <utility>

#include "pathcleat/core/random_token.hpp"
#include "pathcleat/store/read_row.hpp"

namespace pathcleat {
namespace {

// Two secrets of equal length, one after the other. Between the commands' rows
// and the hosts' rows, so that a start reads all of them in one call.
constexpr const char* kRow = "fleet-secrets";
constexpr std::chrono::milliseconds kRetryPause{700};

}  // namespace

FleetSecrets::FleetSecrets(boost::asio::io_context& loop,
                           TableStore& store,
                           std::function<void()> on_known)
    : store_(store), on_known_(std::move(on_known)), timer_(loop) {}

void FleetSecrets::Read() {
  ReadRow(store_, kRow, [this](const RowReadResult& read) {
    if (read.outcome != StoreOutcome::kDone) {
      Retry();
      return;
    }
    if (read.row.version == 0) {
      Create();
      return;
    }
    Adopt(read.row.value);
  });
}

void FleetSecrets::Adopt(const std::string& value) {
  const std::size_t half = value.size() / 2;
  peer_key_ = value.substr(0, half);
  operator_token_ = value.substr(half);
  on_known_();
}

bool FleetSecrets::HandleRow(const TableRow& row) {
  if (row.key != kRow) {
    return false;
  }
  Adopt(row.value);
  return true;
}

void FleetSecrets::OnRowsRead() {
  if (peer_key_.empty()) {
    Create();
  }
}

// Of several hosts that find no row one wins; whatever the outcome, the row
// is read again.
void FleetSecrets::Create() {
  store_.Write(kRow, 0, RandomToken() + RandomToken(),
               [this](const TableWriteResult& write) {
                 if (write.outcome == StoreOutcome::kNotDone) {
                   Retry();
                 } else {
                   Read();
                 }
               });
}

void FleetSecrets::Retry() {
  timer_.expires_after(kRetryPause);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Read();
    }
  });
}

}  // namespace pathcleat
