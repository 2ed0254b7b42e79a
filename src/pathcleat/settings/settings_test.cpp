// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/settings/entry_settings.hpp"
#include "pathcleat/settings/load_deployment.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "property.hpp"

namespace pathcleat {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Copy of an example deployment in a temporary directory.
class ExampleCopy {
 public:
  explicit ExampleCopy(const std::string& example)
      : directory_(std::filesystem::temp_directory_path() /
                   ("pathcleat-settings-" + std::to_string(::getpid()))) {
    std::filesystem::copy(
        std::string(PATHCLEAT_SOURCE_DIR) + "/examples/" + example, directory_,
        std::filesystem::copy_options::recursive);
  }
  ~ExampleCopy() { std::filesystem::remove_all(directory_); }
  ExampleCopy(const ExampleCopy&) = delete;
  ExampleCopy& operator=(const ExampleCopy&) = delete;

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(directory_ / name) << text;
  }

  void Replace(const std::string& name,
               const std::string& from,
               const std::string& to) const {
    std::string text = ReadFile(directory_ / name);
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos, "%s", from.c_str());
    Write(name, text.replace(at, from.size(), to));
  }

  std::string HostFile(const std::string& host) const {
    return (directory_ / "hosts" / (host + ".jsonc")).string();
  }

  const std::filesystem::path& directory() const { return directory_; }

 private:
  std::filesystem::path directory_;
};

constexpr const char* kHost = "svealand-1-a";
constexpr const char* kDeployment = "deployment.jsonc";
constexpr const char* kHostFile = "hosts/svealand-1-a.jsonc";

std::vector<SettingsFault> FaultsAfterReplacing(const std::string& file,
                                                const std::string& from,
                                                const std::string& to) {
  const ExampleCopy copy("race_results");
  copy.Replace(file, from, to);
  return file == kDeployment
             ? LoadDeployment((copy.directory() / file).string()).faults
             : LoadEntrySettings(copy.HostFile(kHost)).faults;
}

bool HasFault(const std::vector<SettingsFault>& faults,
              const std::string& key,
              const std::string& text) {
  return std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
    return fault.key == key && fault.line > 0 &&
           fault.text.find(text) != std::string::npos;
  });
}

Test(settings, both_examples_load_without_a_fault) {
  for (const char* example : {"race_results", "heathermoor"}) {
    const ExampleCopy copy(example);
    for (const auto& entry :
         std::filesystem::directory_iterator(copy.directory() / "hosts")) {
      const auto loaded = LoadEntrySettings(entry.path().string());
      cr_assert(
          loaded.faults.empty(), "%s",
          loaded.faults.empty() ? "" : ToString(loaded.faults[0]).c_str());
      cr_assert_eq(loaded.settings.region_of_domain.size(), 6U);
    }
    const auto deployment =
        LoadDeployment((copy.directory() / kDeployment).string());
    cr_assert(deployment.faults.empty());
    cr_assert_eq(deployment.deployment.hosts.size(), 9U);
  }
}

Test(settings, unknown_key_is_reported_with_its_line) {
  const auto faults = FaultsAfterReplacing(
      kDeployment, "\"regions\":", "\"colour\": 1,\n  \"regions\":");
  cr_assert(HasFault(faults, "/colour", "unknown key"));
  const auto fault =
      std::find_if(faults.begin(), faults.end(),
                   [](const auto& item) { return item.key == "/colour"; });
  cr_assert_eq(fault->line, 5);
}

Test(settings, wrong_type_and_out_of_range_say_what_was_expected) {
  cr_assert(HasFault(
      FaultsAfterReplacing(kDeployment, "\"slots\": 6", "\"slots\": \"6\""),
      "/upstreams/0/slots", "expected a number"));
  cr_assert(HasFault(
      FaultsAfterReplacing(kDeployment, "\"slots\": 6", "\"slots\": 0"),
      "/upstreams/0/slots", "expected a number from 1"));
}

Test(settings, duplicate_host_and_address_are_faults) {
  const auto faults = FaultsAfterReplacing(
      kDeployment,
      "\"name\": \"svealand-1-b\", \"failure_domain\": \"svealand-1\", "
      "\"address\": \"127.1.1.2\"",
      "\"name\": \"svealand-1-a\", \"failure_domain\": \"svealand-1\", "
      "\"address\": \"127.1.1.1\"");
  cr_assert(HasFault(faults, "/hosts/1/name", "duplicate host"));
  cr_assert(HasFault(faults, "/hosts/1/address", "used twice"));
}

Test(settings, invalid_address_is_a_fault) {
  const auto faults = FaultsAfterReplacing(kHostFile, "\"127.1.1.1:8080\"",
                                           "\"localhost:8080\"");
  cr_assert(
      HasFault(faults, "/listen/callers", "expected an IP number and a port"));
  cr_assert(HasFault(
      FaultsAfterReplacing(kHostFile, "\"127.1.0.1:8500\"", "\"127.1.0.1\""),
      "/store/address", "expected an IP number and a port"));
}

Test(settings, duplicate_key_is_a_fault) {
  const auto faults =
      FaultsAfterReplacing(kDeployment, "\"name\": \"race_results\",",
                           "\"name\": \"a\", \"name\": \"b\",");
  cr_assert(HasFault(faults, "/name", "duplicate key"));
}

Test(settings, malformed_json_is_reported_with_its_line) {
  const auto faults =
      FaultsAfterReplacing(kDeployment, "\"regions\": [", "\"regions\": [[[");
  cr_assert_geq(faults.size(), 1U);
  cr_assert_gt(faults[0].line, 1);
}

// Guards against a file of a few kilobytes whose check takes gigabytes of
// memory or all of the stack.
Test(settings, deep_nesting_is_a_fault) {
  constexpr std::size_t kDepth = 5'000;
  const ExampleCopy copy("race_results");
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  copy.Write("deep.jsonc", "{\"host\": " + deep + "}");
  const auto loaded =
      LoadEntrySettings((copy.directory() / "deep.jsonc").string());
  cr_assert_eq(loaded.faults.size(), 1U);
  cr_assert_neq(loaded.faults.front().text.find("nested deeper than 32"),
                std::string::npos);
}

Test(settings, missing_file_and_unknown_names_are_faults) {
  cr_assert_eq(LoadEntrySettings("/nowhere/at/all.jsonc").faults.size(), 1U);
  cr_assert(HasFault(
      FaultsAfterReplacing(kHostFile, "\"failure_domain\": \"svealand-1\"",
                           "\"failure_domain\": \"nowhere\""),
      "/failure_domain", "'nowhere' is not among"));
  cr_assert(
      HasFault(FaultsAfterReplacing(kDeployment, "\"service\": \"resultat\"",
                                    "\"service\": \"nothing\""),
               "/upstreams/0/service", "no such name"));
}

Test(settings, wrong_bounds_of_a_host_are_faults) {
  cr_assert(HasFault(
      FaultsAfterReplacing(kHostFile, "\"links\":",
                           "\"bounds\": {\"retry_ratio\": -1}, \"links\":"),
      "/bounds/retry_ratio", "expected a number from 0"));
  cr_assert(HasFault(FaultsAfterReplacing(
                         kHostFile, "\"links\":", "\"colour\": 1, \"links\":"),
                     "/colour", "unknown key"));
}

Test(settings,
     mechanisms_are_switched_off_by_name_and_unknown_names_are_reported) {
  const ExampleCopy copy("race_results");
  const std::string file = copy.HostFile("svealand-1-a");
  const std::string name = "hosts/svealand-1-a.jsonc";
  copy.Replace(name, "{", "{ \"policy\": { \"off\": [\"patience\"] },");
  const LoadedEntrySettings loaded = LoadEntrySettings(file);
  cr_assert(loaded.faults.empty());
  cr_assert(!loaded.settings.policy.IsEnabled(Mechanism::kFailover));
  cr_assert(loaded.settings.policy.IsEnabled(Mechanism::kSlowness));
  copy.Replace(name, "patience", "patients");
  const LoadedEntrySettings invalid = LoadEntrySettings(file);
  cr_assert_eq(invalid.faults.size(), 1U);
  cr_assert_neq(invalid.faults[0].text.find("patients"), std::string::npos);
  cr_assert_neq(invalid.faults[0].text.find("learned_warmth"),
                std::string::npos);
}

double LinkMbpsWith(const std::string& setting) {
  const ExampleCopy copy("race_results");
  copy.Replace(kHostFile, "\"links\":", setting + "\"links\":");
  const LoadedEntrySettings loaded = LoadEntrySettings(copy.HostFile(kHost));
  cr_assert(loaded.faults.empty());
  return loaded.settings.link_mbps;
}

Test(settings, missing_or_invalid_link_rate_falls_back_to_the_default) {
  const double default_mbps = EntrySettings().link_mbps;
  cr_assert_float_eq(LinkMbpsWith("\"link_mbps\": 200.5, "), 200.5, 0.01);
  cr_assert_float_eq(LinkMbpsWith(""), default_mbps, 0.01);
  cr_assert_float_eq(LinkMbpsWith("\"link_mbps\": 0, "), default_mbps, 0.01);
  cr_assert_float_eq(LinkMbpsWith("\"link_mbps\": -3, "), default_mbps, 0.01);
  cr_assert_float_eq(LinkMbpsWith("\"link_mbps\": 1e30, "), default_mbps, 0.01);
}

EntrySettings WithCapacity(const std::string& capacity) {
  const ExampleCopy copy("race_results");
  copy.Replace(kHostFile, "\"links\":", capacity + "\"links\":");
  const LoadedEntrySettings loaded = LoadEntrySettings(copy.HostFile(kHost));
  cr_assert(loaded.faults.empty());
  return loaded.settings;
}

// Guards against hosts of deployments without these settings that count as
// small ones.
Test(settings, capacity_is_stated_only_where_settings_give_it) {
  const EntrySettings none = WithCapacity("");
  cr_assert_float_eq(none.cpu_cores, 0, 1e-9);
  cr_assert_eq(none.max_descriptors, 0U);
  const EntrySettings all = WithCapacity(
      "\"cpu_cores\": 4, \"cpu_share\": 0.125, \"max_descriptors\": 8192, ");
  cr_assert_float_eq(all.cpu_cores, 0.5, 1e-9);
  cr_assert_eq(all.max_descriptors, 8'192U);
  cr_assert_float_eq(WithCapacity("\"cpu_share\": 0.1, ").cpu_cores, 0.1, 1e-9);
  cr_assert_float_eq(WithCapacity("\"cpu_cores\": 2, ").cpu_cores, 2, 1e-9);
}

// Guards against a capacity that is read as a number that no host has.
Test(settings, capacity_out_of_range_is_a_fault) {
  const ExampleCopy copy("race_results");
  copy.Replace(kHostFile, "\"links\":",
               "\"cpu_cores\": -1, \"max_descriptors\": -5, \"links\":");
  const LoadedEntrySettings loaded = LoadEntrySettings(copy.HostFile(kHost));
  cr_assert_eq(loaded.faults.size(), 2U);
}

LoadedEntrySettings WithBounds(const std::string& bounds) {
  const ExampleCopy copy("race_results");
  copy.Replace(kHostFile,
               "\"links\":", "\"bounds\": {" + bounds + "}, \"links\":");
  return LoadEntrySettings(copy.HostFile(kHost));
}

Test(settings, contact_time_has_a_default) {
  const LoadedEntrySettings given = WithBounds("\"contact_ms\": 4500");
  cr_assert(given.faults.empty());
  cr_assert(given.settings.bounds.contact == Duration(4'500'000));
  cr_assert(WithBounds("").settings.bounds.contact == Duration(3'000'000));
}

// Guards against an exposure that no setting allowed.
Test(settings, bounds_of_rollouts_are_all_given_or_none) {
  const LoadedEntrySettings none = WithBounds("");
  cr_assert(none.faults.empty());
  cr_assert_not(none.settings.bounds.rollout.has_value());
  const LoadedEntrySettings all = WithBounds(
      "\"rollout_exposure_share\": 0.02, \"rollout_exposure_slack\": 30, "
      "\"rollback_ms\": 4000");
  cr_assert(all.faults.empty());
  cr_assert_float_eq(all.settings.bounds.rollout->exposure_share, 0.02, 1e-9);
  cr_assert_float_eq(all.settings.bounds.rollout->exposure_slack, 30, 1e-9);
  cr_assert(all.settings.bounds.rollout->rollback == Duration(4'000'000));
  cr_assert(HasFault(WithBounds("\"rollout_exposure_share\": 0.02").faults,
                     "/bounds/rollback_ms", "missing beside other bounds"));
}

// A missing bound must not require keys of callers.
Test(settings, bound_on_revocation_is_optional) {
  cr_assert_not(WithBounds("").settings.bounds.revoke.has_value());
  const auto bounds = WithBounds("\"revoke_ms\": 5000").settings.bounds;
  cr_assert(bounds.revoke == Duration(5'000'000));
}

}  // namespace
}  // namespace pathcleat
