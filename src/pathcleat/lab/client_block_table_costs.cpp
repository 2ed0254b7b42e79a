// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include <random>

#include "pathcleat/lab/cost_curve.hpp"
#include "pathcleat/steer/client_block_table.hpp"
#include "stopwatch.hpp"

namespace pathcleat {
namespace {

constexpr std::uint16_t kRegions = 2'500;
constexpr std::size_t kSizes[] = {550'000, 1'100'000, 2'200'000, 4'400'000};
constexpr double kMegabyte = 1e6;
constexpr double kUnitStep = 1e3;  // ns per us, and us per ms

// Blocks of random lengths that cover the whole IPv4 address space, each
// assigned to a random region.
std::vector<ClientBlockRow> MakeRows(std::size_t count) {
  std::mt19937_64 random(count);
  const double step = 4294967296.0 / static_cast<double>(count);
  std::uniform_real_distribution<double> position(0.0, 1.0);
  std::vector<ClientBlockRow> rows;
  rows.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const double first = (static_cast<double>(i) + position(random)) * step;
    rows.push_back({static_cast<std::uint32_t>(first),
                    static_cast<std::uint16_t>(random() % kRegions)});
  }
  return rows;
}

}  // namespace

std::vector<CostCurve> MeasureBlockTableCosts() {
  CostCurve build{"block table: build, CPU ms", "blocks", {}, 0, 0, 0};
  CostCurve memory{"block table: memory, MB", "blocks", {}, 0, 0, 0};
  CostCurve look_up{"block table: look-up, CPU ns", "blocks", {}, 0, 0, 0};
  CostCurve change{"block table: one change, CPU us", "blocks", {}, 0, 0, 0};
  CostCurve compact{
      "block table: merge of 2,000 changes, CPU ms", "blocks", {}, 0, 0, 0};
  for (const std::size_t size : kSizes) {
    const auto x = static_cast<double>(size);
    const std::vector<ClientBlockRow> rows = MakeRows(size);
    std::vector<double> builds = TimeCalls(
        1, [&rows](std::size_t) { const ClientBlockTable built(rows); });
    for (double& micros : builds) {
      micros /= kUnitStep;
    }
    build.points.push_back(MakeCostPoint(x, builds));
    ClientBlockTable table(rows);
    memory.points.push_back(MakeCostPoint(
        x, {static_cast<double>(table.MemoryBytes()) / kMegabyte}));
    std::mt19937 random(1);
    std::uint64_t sum = 0;
    constexpr std::size_t kLookUps = 2'000'000;
    std::vector<double> look_ups =
        TimeCalls(kLookUps, [&](std::size_t) { sum += table.Find(random()); });
    for (double& micros : look_ups) {
      micros *= kUnitStep;
    }
    look_up.points.push_back(MakeCostPoint(x, look_ups));
    std::vector<double> changes;
    std::vector<double> merges;
    constexpr int kRuns = 5;
    constexpr std::size_t kChanges = 2'000;
    for (int run = 0; run < kRuns; ++run) {
      const double started = CpuMicros();
      for (std::size_t i = 0; i < kChanges; ++i) {
        const std::uint32_t first = random() & 0xFFFFFF00U;
        table.Assign(first, first + 0xFF,
                     static_cast<std::uint16_t>(sum % kRegions));
      }
      const double changes_done = CpuMicros();
      table.Compact();
      changes.push_back((changes_done - started) / kChanges);
      merges.push_back((CpuMicros() - changes_done) / kUnitStep);
    }
    change.points.push_back(MakeCostPoint(x, changes));
    compact.points.push_back(MakeCostPoint(x, merges));
  }
  return {FitLine(build), FitLine(memory), FitLine(look_up), FitLine(change),
          FitLine(compact)};
}

}  // namespace pathcleat
