// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/host_registry.hpp"

#include <cereal/types/string.hpp>
#include <utility>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {
namespace {

constexpr const char* kPrefix = "hosts/";
constexpr const char* kAfterPrefix = "hosts0";  // '0' follows '/'
constexpr int kPageRows = 500;
constexpr std::chrono::milliseconds kRetryPause{1'000};

}  // namespace

HostRegistry::HostRegistry(boost::asio::io_context& loop,
                           TableStore& store,
                           HostTable& hosts,
                           std::function<void()> on_listed)
    : store_(store),
      hosts_(hosts),
      on_listed_(std::move(on_listed)),
      timer_(loop) {}

void HostRegistry::Start() {
  WriteOwn();
}

void HostRegistry::WriteOwn() {
  const HostInfo& self = hosts_.self();
  store_.Overwrite(kPrefix + self.name, EncodeBinary(self),
                   [this](const TableWrite& write) {
                     if (write.outcome == StoreOutcome::kDone) {
                       ReadOthers(kPrefix);
                     } else {
                       Retry([this] { WriteOwn(); });
                     }
                   });
}

void HostRegistry::ReadOthers(const std::string& from) {
  store_.Scan(from, kAfterPrefix, kPageRows,
              [this](const TableScan& scan) { OnScan(scan); });
}

void HostRegistry::OnScan(const TableScan& scan) {
  if (scan.outcome != StoreOutcome::kDone) {
    Retry([this] { ReadOthers(kPrefix); });
    return;
  }
  const Time now = BootClock::now();
  for (const TableRow& row : scan.rows) {
    if (const auto host = DecodeBinary<HostInfo>(row.value)) {
      hosts_.OnListed(*host, now);
    }
  }
  if (scan.more && !scan.rows.empty()) {
    ReadOthers(scan.rows.back().key + '\1');
    return;
  }
  on_listed_();
}

void HostRegistry::Retry(std::function<void()> step) {
  timer_.expires_after(kRetryPause);
  timer_.async_wait(
      [step = std::move(step)](const boost::system::error_code& error) {
        if (!error) {
          step();
        }
      });
}

}  // namespace pathcleat
