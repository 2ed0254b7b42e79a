// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/startup_loader.hpp"

#include <cereal/types/string.hpp>
#include <vector>

#include "event_loop.hpp"
#include "pathcleat/core/binary_codec.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kHeartbeatTimeout{2'500'000};

HostInfo MakeHost(const std::string& name) {
  HostInfo host;
  host.name = name;
  host.incarnation = 1;
  return host;
}

// A store whose first writes have an outcome chosen by the test.
class FakeStore : public TableStore {
 public:
  void Scan(const std::string&,
            const std::string&,
            int,
            std::function<void(TableScanResult)> callback) override {
    ++scans;
    callback({StoreOutcome::kDone, rows, false});
  }
  void Overwrite(const std::string&,
                 const std::string&,
                 std::function<void(TableWriteResult)> callback) override {
    ++writes;
    callback(
        {writes > failing_writes ? StoreOutcome::kDone : failing_outcome, 1});
  }
  void Write(const std::string&,
             std::uint64_t,
             const std::string&,
             std::function<void(TableWriteResult)>) override {}
  void Delete(const std::string&,
              std::uint64_t,
              std::function<void(TableWriteResult)>) override {}

  std::vector<TableRow> rows;
  StoreOutcome failing_outcome = StoreOutcome::kDone;
  int failing_writes = 0;
  int scans = 0;
  int writes = 0;
};

struct StartupLoaderFixture {
  boost::asio::io_context loop{1};
  FakeStore store;
  HostTable hosts{MakeHost("self"), kHeartbeatTimeout};
  std::vector<std::string> others;
  int reads = 0;
  StartupLoader rows{loop, store, hosts,
                     [this](const TableRow& row) { others.push_back(row.key); },
                     [this] { ++reads; }};
};

Test(startup_loader, rows_go_to_the_right_handlers) {
  StartupLoaderFixture fixture;
  fixture.store.rows = {{"config/01", 1, "command"},
                        {"fleet-secrets", 2, "secrets"},
                        {"hosts/other", 3, EncodeBinary(MakeHost("other"))},
                        {"hosts/unreadable", 4, "?"}};
  fixture.rows.Start();
  cr_assert_eq(fixture.reads, 1);
  cr_assert_eq(fixture.others.size(), 2U);
  cr_assert_eq(fixture.hosts.Others().size(), 1U);
  cr_assert_eq(fixture.store.writes, 1);
}

// The answer to a write may be lost, or writes may be rejected, while reads are
// answered. A host that did not read the secrets then would accept no
// heartbeats and use the shares of all other hosts. Fails (no rows read) if
// rows are read only after a confirmed write.
Test(startup_loader, rows_are_read_even_if_the_own_row_is_not_written) {
  for (const StoreOutcome failing_outcome :
       {StoreOutcome::kUnknown, StoreOutcome::kNotDone}) {
    StartupLoaderFixture fixture;
    fixture.store.failing_outcome = failing_outcome;
    fixture.store.failing_writes = 1;
    fixture.rows.Start();
    cr_assert_eq(fixture.reads, 1);
    // The own row is then written again, and all rows are read again after it.
    cr_assert(WaitUntil(fixture.loop, [&] { return fixture.reads == 2; }));
    cr_assert_eq(fixture.store.writes, 2);
  }
}

}  // namespace
}  // namespace pathcleat
