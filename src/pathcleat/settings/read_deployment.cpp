// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "read_deployment.hpp"

#include <boost/asio/ip/network_v4.hpp>
#include <set>
#include <utility>

namespace pathcleat {
namespace {

constexpr Bounds kMilliseconds{0.001, 600'000};
constexpr Bounds kSlots{1, 10'000};
constexpr Bounds kInFlight{1, 1'000'000};
constexpr Bounds kInstanceCount{1, 1'000};

Duration FromMilliseconds(double value) {
  constexpr double kMicrosPerMilli = 1'000;
  return Duration(static_cast<Duration::rep>(value * kMicrosPerMilli));
}

std::string Ipv4Text(JsonReader& reader, const std::string& key) {
  std::string text = reader.Text(key);
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(text, error);
  if (!text.empty() && error) {
    reader.AddFault(key, "expected an IPv4 address; found '" + text + "'");
  }
  return text;
}

// Reads a name and looks it up with find; adds a fault if the name is unknown.
template <class Find>
auto ResolveName(JsonReader& reader, const std::string& key, Find find) {
  const std::string name = reader.Text(key);
  const auto found = find(name);
  if (!found && !name.empty()) {
    reader.AddFault(key, "no such name as '" + name + "'");
  }
  return found.value_or(typename decltype(found)::value_type{});
}

class DeploymentReader {
 public:
  explicit DeploymentReader(JsonReader& root) : root_(root) {}

  Deployment Read() {
    deployment_.name = root_.Text("name");
    ReadLatency();
    root_.ForEachObject("regions", true, [this](auto& r) { ReadRegion(r); });
    root_.ForEachObject("services", true, [this](auto& r) { ReadService(r); });
    root_.ForEachObject("hosts", true, [this](auto& r) { ReadHost(r); });
    root_.ForEachObject("upstreams", true,
                        [this](auto& r) { ReadUpstreams(r); });
    root_.ForEachObject("links", false, [this](auto& r) { ReadLink(r); });
    root_.ForEachObject("client_blocks", false,
                        [this](auto& r) { ReadBlock(r); });
    root_.ReadNested("platform", [this](auto& r) { ReadPlatform(r); });
    return std::move(deployment_);
  }

 private:
  void CheckUnique(JsonReader& reader,
                   const std::string& kind,
                   const std::string& name) {
    if (!unique_names_.insert(kind + " " + name).second) {
      reader.AddFault("name", "duplicate " + kind + " '" + name + "'");
    }
  }

  void CheckUniqueEndpoint(JsonReader& reader,
                           const std::string& address,
                           std::uint16_t port) {
    const std::string endpoint = address + ":" + std::to_string(port);
    if (!unique_names_.insert("endpoint " + endpoint).second) {
      reader.AddFault("address",
                      "address and port " + endpoint + " used twice");
    }
  }

  void ReadLatency() {
    root_.ReadNested("latency_ms", [this](JsonReader& reader) {
      deployment_.latency_in_domain =
          FromMilliseconds(reader.Number("in_domain", kMilliseconds));
      deployment_.latency_between_domains =
          FromMilliseconds(reader.Number("between_domains", kMilliseconds));
      deployment_.latency_between_regions =
          FromMilliseconds(reader.Number("between_regions", kMilliseconds));
    });
  }

  void ReadRegion(JsonReader& reader) {
    Region region;
    region.name = reader.Text("name");
    region.max_in_flight = reader.IntegerOr("max_in_flight", kInFlight, 0);
    CheckUnique(reader, "region", region.name);
    const RegionIndex index{
        static_cast<std::uint16_t>(deployment_.regions.size())};
    for (const std::string& name : reader.TextList("failure_domains")) {
      CheckUnique(reader, "failure domain", name);
      deployment_.domains.push_back({name, index});
    }
    deployment_.regions.push_back(std::move(region));
  }

  void ReadService(JsonReader& reader) {
    Service service;
    service.name = reader.Text("name");
    service.path_prefix = reader.Text("path_prefix");
    service.health_path = reader.TextOr("health_path", service.health_path);
    CheckUnique(reader, "service", service.name);
    reader.ForEachObject("kinds", true, [&service](JsonReader& kind_reader) {
      service.kinds.push_back(ReadKind(kind_reader));
    });
    deployment_.services.push_back(std::move(service));
  }

  static RequestKind ReadKind(JsonReader& reader) {
    const std::map<std::string, Priority> priorities = {
        {"submission", Priority::kSubmission},
        {"lookup", Priority::kLookup},
        {"download", Priority::kDownload}};
    constexpr Bounds kBodyBytes{0, 64.0 * 1024 * 1024};
    RequestKind kind;
    kind.name = reader.Text("name");
    kind.methods = reader.TextList("methods");
    kind.path_prefix = reader.TextOr("path_prefix", kind.path_prefix);
    kind.repeatable = reader.Flag("repeatable");
    kind.priority = reader.Choice("priority", priorities);
    kind.deadline =
        FromMilliseconds(reader.Number("deadline_ms", kMilliseconds));
    kind.max_body_bytes = static_cast<std::uint64_t>(
        reader.NumberOr("max_body_bytes", kBodyBytes, 0));
    return kind;
  }

  auto FindDomain() {
    return [this](const std::string& name) {
      return deployment_.FindDomain(name);
    };
  }

  auto FindRegion() {
    return [this](const std::string& name) {
      return deployment_.FindRegion(name);
    };
  }

  void ReadHost(JsonReader& reader) {
    EntryHost host;
    host.name = reader.Text("name");
    host.domain = ResolveName(reader, "failure_domain", FindDomain());
    host.address = Ipv4Text(reader, "address");
    host.caller_port = reader.Port("caller_port");
    host.peer_port = reader.Port("peer_port");
    host.operator_port = reader.Port("operator_port");
    CheckUnique(reader, "host", host.name);
    CheckUniqueEndpoint(reader, host.address, host.caller_port);
    CheckUniqueEndpoint(reader, host.address, host.peer_port);
    CheckUniqueEndpoint(reader, host.address, host.operator_port);
    deployment_.hosts.push_back(std::move(host));
  }

  // One JSON object describes 'count' instances on consecutive ports.
  void ReadUpstreams(JsonReader& reader) {
    Upstream upstream;
    const std::string name = reader.Text("name");
    upstream.service = ResolveName(reader, "service", [this](const auto& text) {
      return deployment_.FindService(text);
    });
    upstream.domain = ResolveName(reader, "failure_domain", FindDomain());
    upstream.address = Ipv4Text(reader, "address");
    const std::uint16_t first_port = reader.Port("port");
    upstream.slots = reader.IntegerOr("slots", kSlots, 1);
    const int count = reader.IntegerOr("count", kInstanceCount, 1);
    for (int i = 0; i < count; ++i) {
      upstream.name = count == 1 ? name : name + "-" + std::to_string(i + 1);
      upstream.port = static_cast<std::uint16_t>(first_port + i);
      CheckUnique(reader, "upstream", upstream.name);
      CheckUniqueEndpoint(reader, upstream.address, upstream.port);
      deployment_.upstreams.push_back(upstream);
    }
  }

  void ReadLink(JsonReader& reader) {
    RegionLink link;
    link.from = ResolveName(reader, "from", FindRegion());
    link.to = ResolveName(reader, "to", FindRegion());
    link.max_in_flight = reader.IntegerOr("max_in_flight", kInFlight, 1);
    deployment_.links.push_back(link);
  }

  void ReadBlock(JsonReader& reader) {
    ClientBlock block;
    const std::string text = reader.Text("block");
    boost::system::error_code error;
    const auto subnet = boost::asio::ip::make_network_v4(text, error);
    if (error) {
      reader.AddFault("block", "expected an IPv4 block such as 10.0.0.0/8");
    }
    block.first_address = subnet.network().to_uint();
    block.prefix_length = subnet.prefix_length();
    block.region = ResolveName(reader, "region", FindRegion());
    deployment_.client_blocks.push_back(block);
  }

  void ReadPlatform(JsonReader& reader) {
    constexpr Bounds kRate{0.1, 100'000};
    PlatformEndpoint& platform = deployment_.platform;
    platform.address = Ipv4Text(reader, "address");
    platform.port = reader.Port("port");
    platform.calls_per_second =
        reader.NumberOr("calls_per_second", kRate, platform.calls_per_second);
    platform.burst = reader.IntegerOr("burst", kRate, platform.burst);
  }

  JsonReader& root_;
  Deployment deployment_;
  std::set<std::string> unique_names_;
};

}  // namespace

Deployment ReadDeployment(JsonReader& reader) {
  return DeploymentReader(reader).Read();
}

}  // namespace pathcleat
