// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/startup_loader.hpp"

#include <cereal/types/string.hpp>
#include <utility>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {
namespace {

constexpr const char* kHostPrefix = "hosts/";
// From the commands' first row over the secrets' to the hosts' last.
constexpr const char* kFirstRow = "config/";
constexpr const char* kAfterLastRow = "hosts0";  // '0' follows '/'
constexpr int kPageRows = 500;
constexpr std::chrono::milliseconds kRetryPause{1'000};

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
  WriteOwn();
}

void StartupLoader::WriteOwn() {
  const HostInfo& self = hosts_.self();
  store_.Overwrite(kHostPrefix + self.name, EncodeBinary(self),
                   [this](const TableWriteResult& write) {
                     written_ = write.outcome == StoreOutcome::kDone;
                     Read(kFirstRow);
                   });
}

void StartupLoader::Read(const std::string& from) {
  store_.Scan(from, kAfterLastRow, kPageRows,
              [this](const TableScanResult& scan) { OnScan(scan); });
}

void StartupLoader::Take(const TableRow& row) {
  if (!row.key.starts_with(kHostPrefix)) {
    on_row_(row);
  } else if (const auto host = DecodeBinary<HostInfo>(row.value)) {
    hosts_.OnStoreRow(*host, BootClock::now());
  }
}

void StartupLoader::OnScan(const TableScanResult& scan) {
  if (scan.outcome != StoreOutcome::kDone) {
    Retry([this] { Read(kFirstRow); });
    return;
  }
  for (const TableRow& row : scan.rows) {
    Take(row);
  }
  if (scan.has_more && !scan.rows.empty()) {
    Read(scan.rows.back().key + '\1');
    return;
  }
  on_read_();
  if (!written_) {
    Retry([this] { WriteOwn(); });
  }
}

void StartupLoader::Retry(std::function<void()> step) {
  timer_.expires_after(kRetryPause);
  timer_.async_wait(
      [step = std::move(step)](const boost::system::error_code& error) {
        if (!error) {
          step();
        }
      });
}

}  // namespace pathcleat
