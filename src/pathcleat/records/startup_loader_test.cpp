// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/startup_loader.hpp"

#include <cereal/types/string.hpp>
#include <vector>

#include "event_loop.hpp"
#include "pathcleat/core/binary_codec.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kSilence{2'500'000};

HostInfo HostNamed(const std::string& name) {
  HostInfo host;
  host.name = name;
  host.incarnation = 1;
  return host;
}

// A store whose first writes have an outcome of the test's choice.
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
    callback({writes > failing ? StoreOutcome::kDone : outcome, 1});
  }
  void Write(const std::string&,
             std::uint64_t,
             const std::string&,
             std::function<void(TableWriteResult)>) override {}
  void Delete(const std::string&,
              std::uint64_t,
              std::function<void(TableWriteResult)>) override {}

  std::vector<TableRow> rows;
  StoreOutcome outcome = StoreOutcome::kDone;
  int failing = 0;
  int scans = 0;
  int writes = 0;
};

struct RowsWorld {
  boost::asio::io_context loop{1};
  FakeStore store;
  HostTable hosts{HostNamed("self"), kSilence};
  std::vector<std::string> others;
  int reads = 0;
  StartupLoader rows{loop, store, hosts,
                     [this](const TableRow& row) { others.push_back(row.key); },
                     [this] { ++reads; }};
};

Test(fleet_rows, rows_are_told_apart) {
  RowsWorld world;
  world.store.rows = {{"config/01", 1, "command"},
                      {"fleet-secrets", 2, "secrets"},
                      {"hosts/other", 3, EncodeBinary(HostNamed("other"))},
                      {"hosts/unreadable", 4, "?"}};
  world.rows.Start();
  cr_assert_eq(world.reads, 1);
  cr_assert_eq(world.others.size(), 2U);
  cr_assert_eq(world.hosts.Others().size(), 1U);
  cr_assert_eq(world.store.writes, 1);
}

// The answer to a write may be lost, or writes turned away, while reads are
// answered: without the secrets a host would hear nobody, and take the shares
// of all. Seen to fail (nothing read) while rows were read after a write that
// was done alone.
Test(fleet_rows, rows_are_read_also_where_the_own_one_is_not_written) {
  for (const StoreOutcome outcome :
       {StoreOutcome::kUnknown, StoreOutcome::kNotDone}) {
    RowsWorld world;
    world.store.outcome = outcome;
    world.store.failing = 1;
    world.rows.Start();
    cr_assert_eq(world.reads, 1);
    // Then the own row is written, and the others are read again behind it.
    cr_assert(WaitUntil(world.loop, [&] { return world.reads == 2; }));
    cr_assert_eq(world.store.writes, 2);
  }
}

}  // namespace
}  // namespace pathcleat
