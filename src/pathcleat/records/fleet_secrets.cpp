// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/fleet_secrets.hpp"

#include <utility>

#include "pathcleat/core/random_token.hpp"
#include "pathcleat/store/read_row.hpp"

namespace pathcleat {
namespace {

// The row holds two secrets of equal length, one after the other. Its key sorts
// between the commands' rows and the hosts' rows, so that one scan at startup
// reads all of them.
constexpr const char* kRowKey = "fleet-secrets";
constexpr std::chrono::milliseconds kRetryDelay{700};

}  // namespace

FleetSecrets::FleetSecrets(boost::asio::io_context& loop,
                           TableStore& store,
                           std::function<void()> on_loaded)
    : store_(store), on_loaded_(std::move(on_loaded)), timer_(loop) {}

void FleetSecrets::Read() {
  ReadRow(store_, kRowKey, [this](const RowReadResult& read) {
    if (read.outcome != StoreOutcome::kDone) {
      Retry();
      return;
    }
    if (read.row.version == 0) {
      Create();
      return;
    }
    if (read.row.value.empty()) {
      Retry();
      return;
    }
    SetSecrets(read.row.value);
  });
}

void FleetSecrets::SetSecrets(const std::string& value) {
  const std::size_t half = value.size() / 2;
  peer_key_ = value.substr(0, half);
  operator_token_ = value.substr(half);
  on_loaded_();
}

bool FleetSecrets::HandleRow(const TableRow& row) {
  if (row.key != kRowKey) {
    return false;
  }
  if (!row.value.empty()) {
    SetSecrets(row.value);
  }
  return true;
}

void FleetSecrets::OnRowsRead() {
  if (peer_key_.empty()) {
    Create();
  }
}

// If several hosts find no row, only one write succeeds. Whatever the outcome,
// the row is then read again: at once only the first time, as a store that
// hides the row would be called without a pause.
void FleetSecrets::Create() {
  store_.Write(kRowKey, 0, RandomToken() + RandomToken(),
               [this](const TableWriteResult& write) {
                 const bool was_tried = std::exchange(tried_to_create_, true);
                 if (was_tried || write.outcome == StoreOutcome::kNotDone) {
                   Retry();
                 } else {
                   Read();
                 }
               });
}

void FleetSecrets::Retry() {
  timer_.expires_after(kRetryDelay);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Read();
    }
  });
}

}  // namespace pathcleat
