// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/command.hpp"

#include <boost/asio/ip/network_v4.hpp>
#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <vector>

namespace pathcleat {
namespace {

constexpr std::string_view kHelp =
    "where SERVICE from CLIENT-IP\n"
    "why REQUEST-ID\n"
    "show hosts | upstreams | shifts | config | metrics | accounts | "
    "rollouts\n"
    "account NAME\n"
    "drain upstream NAME | drain region NAME\n"
    "undrain upstream NAME | undrain region NAME\n"
    "shift SERVICE from REGION to REGION cap N% [over TIME]   (TIME: 30s, "
    "10m)\n"
    "stop shift SERVICE from REGION\n"
    "roll back SERVICE   (takes a version that is being rolled out back)\n"
    "rollouts | rollout SERVICE   (what rollouts do and rest on)\n"
    "hold rollout SERVICE   (no promotion, no completion; time runs on)\n"
    "resume rollout SERVICE\n"
    "assign CLIENT-BLOCK to REGION   (CLIENT-BLOCK: 10.1.0.0/16)\n"
    "help\n";

std::vector<std::string> SplitWords(std::string_view text) {
  std::vector<std::string> words;
  std::string word;
  for (const char character : text) {
    const bool is_space = character == ' ' || character == '\t' ||
                          character == '\n' || character == '\r';
    if (!is_space) {
      word.push_back(character);
    } else if (!word.empty()) {
      words.push_back(std::move(word));
      word.clear();
    }
  }
  if (!word.empty()) {
    words.push_back(std::move(word));
  }
  return words;
}

class Parser {
 public:
  Parser(const ValidNames& names, std::string_view text)
      : names_(names), words_(SplitWords(text)) {}

  Result<OperatorCommand> Parse() {
    BOOST_LEAF_AUTO(verb, NextWord("a command; 'help' lists them"));
    BOOST_LEAF_AUTO(command, ParseVerb(verb));
    if (next_word_ < words_.size()) {
      return FailExpecting("the end of the command");
    }
    return command;
  }

 private:
  Result<OperatorCommand> ParseVerb(const std::string& verb) {
    if (verb == "where") {
      return ParseWhere();
    }
    if (verb == "why") {
      return ParseWhy();
    }
    if (verb == "show") {
      return ParseShow();
    }
    if (verb == "account") {
      return ParseAccount();
    }
    if (verb == "drain" || verb == "undrain") {
      return ParseDrain(verb == "drain");
    }
    if (verb == "shift") {
      return ParseShift();
    }
    if (verb == "stop") {
      return ParseStop();
    }
    if (verb == "roll") {
      return ParseRollBack();
    }
    if (verb == "rollouts") {
      return OperatorCommand(RolloutsQuery{});
    }
    if (verb == "rollout") {
      return ParseRollout();
    }
    if (verb == "hold" || verb == "resume") {
      return ParseRolloutHold(verb == "hold");
    }
    if (verb == "assign") {
      return ParseAssign();
    }
    if (verb == "help") {
      return OperatorCommand(HelpQuery{});
    }
    --next_word_;
    return FailExpecting("a command; 'help' lists them");
  }

  Result<OperatorCommand> ParseWhere() {
    WhereQuery query;
    BOOST_LEAF_ASSIGN(query.service, ParseService());
    BOOST_LEAF_CHECK(ExpectKeyword("from"));
    BOOST_LEAF_ASSIGN(query.caller, NextWord("a client's IPv4 number"));
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(query.caller, error);
    if (error) {
      --next_word_;
      return FailExpecting("a client's IPv4 number");
    }
    return OperatorCommand(query);
  }

  Result<OperatorCommand> ParseWhy() {
    BOOST_LEAF_AUTO(id, NextWord("a request id"));
    return OperatorCommand(WhyQuery{id});
  }

  Result<OperatorCommand> ParseShow() {
    const std::map<std::string, ShowTopic> topics = {
        {"hosts", ShowTopic::kHosts},      {"upstreams", ShowTopic::kUpstreams},
        {"shifts", ShowTopic::kShifts},    {"config", ShowTopic::kConfig},
        {"metrics", ShowTopic::kMetrics},  {"accounts", ShowTopic::kAccounts},
        {"rollouts", ShowTopic::kRollouts}};
    constexpr const char* kExpected =
        "hosts, upstreams, shifts, config, metrics, accounts or rollouts";
    BOOST_LEAF_AUTO(word, NextWord(kExpected));
    const auto topic = topics.find(word);
    if (topic == topics.end()) {
      --next_word_;
      return FailExpecting(kExpected);
    }
    return OperatorCommand(ShowQuery{topic->second});
  }

  Result<OperatorCommand> ParseRollBack() {
    BOOST_LEAF_CHECK(ExpectKeyword("back"));
    RolloutStep step;
    BOOST_LEAF_ASSIGN(step.service, ParseService());
    step.phase = RolloutPhase::kRolledBack;
    return MakeChange(step);
  }

  Result<OperatorCommand> ParseRollout() {
    BOOST_LEAF_AUTO(service, ParseService());
    return OperatorCommand(RolloutQuery{service});
  }

  Result<OperatorCommand> ParseRolloutHold(bool held) {
    BOOST_LEAF_CHECK(ExpectKeyword("rollout"));
    SetRolloutHold hold;
    BOOST_LEAF_ASSIGN(hold.service, ParseService());
    hold.held = held;
    return MakeChange(hold);
  }

  Result<OperatorCommand> ParseAccount() {
    BOOST_LEAF_AUTO(name, NextWord("the name of a client account"));
    return OperatorCommand(AccountQuery{name});
  }

  Result<OperatorCommand> ParseDrain(bool drained) {
    BOOST_LEAF_AUTO(kind, NextWord("upstream or region"));
    if (kind == "upstream") {
      BOOST_LEAF_AUTO(upstream, ParseUpstream());
      return MakeChange(SetUpstreamDrain{upstream, drained});
    }
    if (kind == "region") {
      BOOST_LEAF_AUTO(region, ParseRegion());
      return MakeChange(SetRegionDrain{region, drained});
    }
    --next_word_;
    return FailExpecting("upstream or region");
  }

  Result<OperatorCommand> ParseShift() {
    ShiftPlan plan;
    BOOST_LEAF_ASSIGN(plan.service, ParseService());
    BOOST_LEAF_CHECK(ExpectKeyword("from"));
    BOOST_LEAF_ASSIGN(plan.from_region, ParseRegion());
    BOOST_LEAF_CHECK(ExpectKeyword("to"));
    BOOST_LEAF_ASSIGN(plan.to_region, ParseRegion());
    if (plan.from_region == plan.to_region) {
      --next_word_;
      return FailExpecting("another region than the one to leave");
    }
    BOOST_LEAF_CHECK(ExpectKeyword("cap"));
    BOOST_LEAF_ASSIGN(plan.cap, ParseShare());
    if (next_word_ < words_.size()) {
      BOOST_LEAF_CHECK(ExpectKeyword("over"));
      BOOST_LEAF_ASSIGN(plan.ramp_time, ParseDuration());
    }
    return MakeChange(StartShift{plan});
  }

  Result<OperatorCommand> ParseStop() {
    StopShift stop;
    BOOST_LEAF_CHECK(ExpectKeyword("shift"));
    BOOST_LEAF_ASSIGN(stop.service, ParseService());
    BOOST_LEAF_CHECK(ExpectKeyword("from"));
    BOOST_LEAF_ASSIGN(stop.from_region, ParseRegion());
    return MakeChange(stop);
  }

  Result<OperatorCommand> ParseAssign() {
    BOOST_LEAF_AUTO(text, NextWord("a client block"));
    boost::system::error_code error;
    const auto subnet = boost::asio::ip::make_network_v4(text, error);
    if (error) {
      --next_word_;
      return FailExpecting("a client block such as 10.1.0.0/16");
    }
    AssignClientBlock assign;
    assign.first_address = subnet.network().to_uint();
    assign.prefix_length = static_cast<std::uint8_t>(subnet.prefix_length());
    BOOST_LEAF_CHECK(ExpectKeyword("to"));
    BOOST_LEAF_ASSIGN(assign.region, ParseRegion());
    return MakeChange(assign);
  }

  static Result<OperatorCommand> MakeChange(const ConfigOperation& operation) {
    return OperatorCommand(ChangeCommand{operation});
  }

  Result<std::string> NextWord(const std::string& expected) {
    if (next_word_ >= words_.size()) {
      return FailExpecting(expected);
    }
    return words_[next_word_++];
  }

  Result<void> ExpectKeyword(const std::string& keyword) {
    const std::string expected = "'" + keyword + "'";
    BOOST_LEAF_AUTO(word, NextWord(expected));
    if (word != keyword) {
      --next_word_;
      return FailExpecting(expected);
    }
    return {};
  }

  Result<std::string> ParseName(const std::string& kind,
                                const std::set<std::string>& valid_names) {
    const std::string article = kind == "upstream" ? "an " : "a ";
    BOOST_LEAF_AUTO(name, NextWord(article + kind));
    if (!valid_names.contains(name)) {
      --next_word_;
      return FailExpecting("the name of " + article + kind);
    }
    return name;
  }

  Result<std::string> ParseService() {
    return ParseName("service", names_.services);
  }
  Result<std::string> ParseRegion() {
    return ParseName("region", names_.regions);
  }
  Result<std::string> ParseUpstream() {
    return ParseName("upstream", names_.upstreams);
  }

  // Parses a positive, finite number and returns the rest of the word in
  // `unit`.
  Result<double> ParseNumberWithUnit(const std::string& expected,
                                     std::string& unit) {
    BOOST_LEAF_AUTO(word, NextWord(expected));
    double value = 0;
    const char* end = word.data() + word.size();
    const auto parsed = std::from_chars(word.data(), end, value);
    if (parsed.ec != std::errc() || !std::isfinite(value) || value <= 0) {
      --next_word_;
      return FailExpecting(expected);
    }
    unit = std::string(parsed.ptr, end);
    return value;
  }

  Result<double> ParseShare() {
    constexpr const char* kExpected = "a share from 1% to 100%";
    constexpr double kMaxPercent = 100;
    std::string unit;
    BOOST_LEAF_AUTO(percent, ParseNumberWithUnit(kExpected, unit));
    if (unit != "%" || percent > kMaxPercent) {
      --next_word_;
      return FailExpecting(kExpected);
    }
    return percent / kMaxPercent;
  }

  Result<Duration> ParseDuration() {
    constexpr const char* kExpected =
        "a time such as 30s or 10m, at most 8760h";
    const std::map<std::string, double> unit_micros = {
        {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};
    std::string unit;
    BOOST_LEAF_AUTO(value, ParseNumberWithUnit(kExpected, unit));
    const auto micros = unit_micros.find(unit);
    const auto max = static_cast<double>(kMaxRampTime.count());
    if (micros == unit_micros.end() || value * micros->second > max) {
      --next_word_;
      return FailExpecting(kExpected);
    }
    return Duration(static_cast<Duration::rep>(value * micros->second));
  }

  boost::leaf::error_id FailExpecting(const std::string& expected) const {
    const std::string found = next_word_ < words_.size()
                                  ? "'" + words_[next_word_] + "'"
                                  : "nothing more";
    return Fail({ErrorCode::kInvalid, "read command", "operator",
                 "word " + std::to_string(next_word_ + 1) + ": expected " +
                     expected + "; found " + found});
  }

  const ValidNames& names_;
  std::vector<std::string> words_;
  std::size_t next_word_ = 0;
};

}  // namespace

std::string_view CommandHelp() {
  return kHelp;
}

Result<OperatorCommand> ParseCommand(const ValidNames& names,
                                     std::string_view text) {
  return Parser(names, text).Parse();
}

}  // namespace pathcleat
