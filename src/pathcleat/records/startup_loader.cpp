// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/startup_loader.hpp"

#include <utility>

#include "pathcleat/fleet/capacity_codec.hpp"

namespace pathcleat {
namespace {

constexpr const char* kHostPrefix = "hosts/";
// The scan covers the commands' rows, the secrets' row and the hosts' rows.
constexpr const char* kFirstKey = "config/";
constexpr const char* kEndKey = "hosts0";  // '0' follows '/'
constexpr int kRowsPerPage = 500;
constexpr std::chrono::milliseconds kRetryDelay{1'000};

}  // namespace

StartupLoader::StartupLoader(boost::asio::io_context& loop,
                             TableStore& store,
                             HostTable& hosts,
                             std::function<void(const TableRow&)> on_row,
                             std::function<void()> on_read)
    : store_(store),
      hosts_(hosts),
      on_row_(std::move(on_row)),
      on_read_(std::move(on_read)),
      timer_(loop) {}

void StartupLoader::Start() {
  WriteOwnRow();
}

void StartupLoader::WriteOwnRow() {
  const HostInfo& self = hosts_.self();
  store_.Overwrite(kHostPrefix + self.name, EncodeHostRow(self),
                   [this](const TableWriteResult& write) {
                     own_row_written_ = write.outcome == StoreOutcome::kDone;
                     Read(kFirstKey);
                   });
}

void StartupLoader::Read(const std::string& from) {
  store_.Scan(from, kEndKey, kRowsPerPage,
              [this](const TableScanResult& scan) { OnScan(scan); });
}

void StartupLoader::HandleRow(const TableRow& row) {
  if (!row.key.starts_with(kHostPrefix)) {
    on_row_(row);
  } else if (const auto host = DecodeHostRow(row.value)) {
    hosts_.OnStoreRow(*host, BootClock::now());
  }
}

void StartupLoader::OnScan(const TableScanResult& scan) {
  if (scan.outcome != StoreOutcome::kDone) {
    Retry([this] { Read(kFirstKey); });
    return;
  }
  for (const TableRow& row : scan.rows) {
    HandleRow(row);
  }
  if (scan.has_more && !scan.rows.empty()) {
    Read(scan.rows.back().key + '\1');
    return;
  }
  on_read_();
  if (!own_row_written_) {
    Retry([this] { WriteOwnRow(); });
  }
}

void StartupLoader::Retry(std::function<void()> step) {
  timer_.expires_after(kRetryDelay);
  timer_.async_wait(
      [step = std::move(step)](const boost::system::error_code& error) {
        if (!error) {
          step();
        }
      });
}

}  // namespace pathcleat
