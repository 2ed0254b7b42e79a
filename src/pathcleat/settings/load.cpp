// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/settings/load.hpp"

#include <QHostAddress>
#include <QTcpServer>
#include <filesystem>
#include <fstream>
#include <utility>

#include "json_reader.hpp"
#include "read_deployment.hpp"

namespace pathcleat {
namespace {

std::string Beside(const std::string& path, const std::string& name) {
  return (std::filesystem::path(path).parent_path() / name).string();
}

// The first line of a file that holds a secret.
std::string ReadSecret(JsonReader& reader,
                       const std::string& key,
                       const std::string& settings_path) {
  constexpr std::size_t kShortestSecret = 16;
  const std::string name = reader.Text(key);
  if (name.empty()) {
    return "";
  }
  std::ifstream stream(Beside(settings_path, name));
  std::string secret;
  std::getline(stream, secret);
  if (secret.size() < kShortestSecret) {
    reader.Fault(key,
                 "expected a file whose first line holds at least 16 "
                 "characters; '" +
                     name + "' does not");
  }
  return secret;
}

void ReadLimits(JsonReader& reader, HostSettings& out) {
  constexpr Bounds kBytes{256, 256.0 * 1024 * 1024};
  constexpr Bounds kMilliseconds{10, 600'000};
  constexpr Bounds kCount{1, 100'000};
  HttpLimits& limits = out.caller_limits;
  limits.header_bytes = static_cast<std::uint32_t>(
      reader.NumberOr("header_bytes", kBytes, limits.header_bytes));
  limits.body_bytes = static_cast<std::uint64_t>(reader.NumberOr(
      "body_bytes", kBytes, static_cast<double>(limits.body_bytes)));
  limits.idle_time = std::chrono::milliseconds(reader.IntegerOr(
      "idle_ms", kMilliseconds, static_cast<int>(limits.idle_time.count())));
  limits.read_time = std::chrono::milliseconds(reader.IntegerOr(
      "read_ms", kMilliseconds, static_cast<int>(limits.read_time.count())));
  out.max_connections = static_cast<std::size_t>(reader.IntegerOr(
      "connections", kCount, static_cast<int>(out.max_connections)));
  out.max_waiting = static_cast<std::size_t>(
      reader.IntegerOr("waiting", kCount, static_cast<int>(out.max_waiting)));
  out.max_answer_bytes = static_cast<std::uint64_t>(reader.NumberOr(
      "answer_bytes", kBytes, static_cast<double>(out.max_answer_bytes)));
}

// An address that this machine does not have cannot be bound to.
void CheckOwnAddress(JsonReader& reader, const Seat& seat) {
  QTcpServer probe;
  if (!probe.listen(QHostAddress(QString::fromStdString(seat.address)), 0)) {
    reader.Fault("host", "address " + seat.address + " of host '" + seat.name +
                             "' is not on this machine");
  }
}

void ReadHost(JsonReader& reader,
              const JsonFile& file,
              LoadedSettings& loaded) {
  constexpr Bounds kWorkers{1, 64};
  constexpr Bounds kEvents{16, 1'000'000};
  HostSettings& out = loaded.settings;
  const std::string host = reader.Text("host");
  const std::string deployment = reader.Text("deployment");
  out.workers = reader.IntegerOr("workers", kWorkers, out.workers);
  out.events_kept = static_cast<std::size_t>(reader.IntegerOr(
      "events_kept", kEvents, static_cast<int>(out.events_kept)));
  out.peer_key = ReadSecret(reader, "peer_key_file", file.path);
  out.operator_token = ReadSecret(reader, "operator_token_file", file.path);
  reader.Nested("limits", [&out](JsonReader& r) { ReadLimits(r, out); });
  if (deployment.empty()) {
    return;
  }
  LoadedDeployment read = LoadDeployment(Beside(file.path, deployment));
  loaded.faults.insert(loaded.faults.end(), read.faults.begin(),
                       read.faults.end());
  out.deployment = std::move(read.deployment);
  if (out.deployment.seats.empty()) {
    return;
  }
  const auto seat = out.deployment.FindSeat(host);
  if (!seat) {
    reader.Fault("host", "no host '" + host + "' in " + deployment);
    return;
  }
  out.seat = *seat;
  CheckOwnAddress(reader, out.self());
}

}  // namespace

LoadedDeployment LoadDeployment(const std::string& path) {
  LoadedDeployment loaded;
  const JsonFile file = ReadJsonFile(path, loaded.faults);
  if (file.root.is_object()) {
    JsonReader root(file, file.root, "", loaded.faults);
    loaded.deployment = ReadDeployment(root);
    root.Finish();
  }
  return loaded;
}

LoadedSettings LoadSettings(const std::string& path) {
  LoadedSettings loaded;
  const JsonFile file = ReadJsonFile(path, loaded.faults);
  if (!file.root.is_object()) {
    if (loaded.faults.empty()) {
      loaded.faults.push_back({path, 1, "", "expected an object"});
    }
    return loaded;
  }
  JsonReader reader(file, file.root, "", loaded.faults);
  ReadHost(reader, file, loaded);
  reader.Finish();
  return loaded;
}

}  // namespace pathcleat
