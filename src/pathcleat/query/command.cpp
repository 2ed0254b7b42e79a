// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/command.hpp"

#include <boost/asio/ip/network_v4.hpp>
#include <charconv>
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
    BOOST_LEAF_AUTO(verb, Word("a command; 'help' lists them"));
    BOOST_LEAF_AUTO(command, ParseVerb(verb));
    if (next_ < words_.size()) {
      return Expected("the end of the command");
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
    if (verb == "assign") {
      return ParseAssign();
    }
    if (verb == "help") {
      return OperatorCommand(HelpQuery{});
    }
    --next_;
    return Expected("a command; 'help' lists them");
  }

  Result<OperatorCommand> ParseWhere() {
    WhereQuery query;
    BOOST_LEAF_ASSIGN(query.service, Service());
    BOOST_LEAF_CHECK(Keyword("from"));
    BOOST_LEAF_ASSIGN(query.caller, Word("a client's IPv4 number"));
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(query.caller, error);
    if (error) {
      --next_;
      return Expected("a client's IPv4 number");
    }
    return OperatorCommand(query);
  }

  Result<OperatorCommand> ParseWhy() {
    BOOST_LEAF_AUTO(id, Word("a request id"));
    return OperatorCommand(WhyQuery{id});
  }

  Result<OperatorCommand> ParseShow() {
    const std::map<std::string, ShowTopic> topics = {
        {"hosts", ShowTopic::kHosts},      {"upstreams", ShowTopic::kUpstreams},
        {"shifts", ShowTopic::kShifts},    {"config", ShowTopic::kConfig},
        {"metrics", ShowTopic::kMetrics},  {"accounts", ShowTopic::kAccounts},
        {"rollouts", ShowTopic::kRollouts}};
    constexpr const char* kWanted =
        "hosts, upstreams, shifts, config, metrics, accounts or rollouts";
    BOOST_LEAF_AUTO(word, Word(kWanted));
    const auto topic = topics.find(word);
    if (topic == topics.end()) {
      --next_;
      return Expected(kWanted);
    }
    return OperatorCommand(ShowQuery{topic->second});
  }

  Result<OperatorCommand> ParseRollBack() {
    BOOST_LEAF_CHECK(Keyword("back"));
    RolloutStep step;
    BOOST_LEAF_ASSIGN(step.service, Service());
    step.phase = RolloutPhase::kRolledBack;
    return Change(step);
  }

  Result<OperatorCommand> ParseAccount() {
    BOOST_LEAF_AUTO(name, Word("the name of a client account"));
    return OperatorCommand(AccountQuery{name});
  }

  Result<OperatorCommand> ParseDrain(bool drained) {
    BOOST_LEAF_AUTO(sort, Word("upstream or region"));
    if (sort == "upstream") {
      BOOST_LEAF_AUTO(upstream, Upstream());
      return Change(SetUpstreamDrain{upstream, drained});
    }
    if (sort == "region") {
      BOOST_LEAF_AUTO(region, Region());
      return Change(SetRegionDrain{region, drained});
    }
    --next_;
    return Expected("upstream or region");
  }

  Result<OperatorCommand> ParseShift() {
    ShiftPlan plan;
    BOOST_LEAF_ASSIGN(plan.service, Service());
    BOOST_LEAF_CHECK(Keyword("from"));
    BOOST_LEAF_ASSIGN(plan.from_region, Region());
    BOOST_LEAF_CHECK(Keyword("to"));
    BOOST_LEAF_ASSIGN(plan.to_region, Region());
    if (plan.from_region == plan.to_region) {
      --next_;
      return Expected("another region than the one to leave");
    }
    BOOST_LEAF_CHECK(Keyword("cap"));
    BOOST_LEAF_ASSIGN(plan.cap, Share());
    if (next_ < words_.size()) {
      BOOST_LEAF_CHECK(Keyword("over"));
      BOOST_LEAF_ASSIGN(plan.ramp_time, Span());
    }
    return Change(StartShift{plan});
  }

  Result<OperatorCommand> ParseStop() {
    StopShift stop;
    BOOST_LEAF_CHECK(Keyword("shift"));
    BOOST_LEAF_ASSIGN(stop.service, Service());
    BOOST_LEAF_CHECK(Keyword("from"));
    BOOST_LEAF_ASSIGN(stop.from_region, Region());
    return Change(stop);
  }

  Result<OperatorCommand> ParseAssign() {
    BOOST_LEAF_AUTO(text, Word("a client block"));
    boost::system::error_code error;
    const auto subnet = boost::asio::ip::make_network_v4(text, error);
    if (error) {
      --next_;
      return Expected("a client block such as 10.1.0.0/16");
    }
    AssignClientBlock assign;
    assign.first_address = subnet.network().to_uint();
    assign.prefix_length = static_cast<std::uint8_t>(subnet.prefix_length());
    BOOST_LEAF_CHECK(Keyword("to"));
    BOOST_LEAF_ASSIGN(assign.region, Region());
    return Change(assign);
  }

  static Result<OperatorCommand> Change(const ConfigOperation& operation) {
    return OperatorCommand(ChangeCommand{operation});
  }

  Result<std::string> Word(const std::string& wanted) {
    if (next_ >= words_.size()) {
      return Expected(wanted);
    }
    return words_[next_++];
  }

  Result<void> Keyword(const std::string& keyword) {
    const std::string wanted = "'" + keyword + "'";
    BOOST_LEAF_AUTO(word, Word(wanted));
    if (word != keyword) {
      --next_;
      return Expected(wanted);
    }
    return {};
  }

  Result<std::string> Named(const std::string& sort,
                            const std::set<std::string>& known) {
    const std::string article = sort == "upstream" ? "an " : "a ";
    BOOST_LEAF_AUTO(name, Word(article + sort));
    if (!known.contains(name)) {
      --next_;
      return Expected("the name of " + article + sort);
    }
    return name;
  }

  Result<std::string> Service() { return Named("service", names_.services); }
  Result<std::string> Region() { return Named("region", names_.regions); }
  Result<std::string> Upstream() { return Named("upstream", names_.upstreams); }

  // A number followed by one of the units.
  Result<double> NumberWith(const std::string& wanted, std::string& unit) {
    BOOST_LEAF_AUTO(word, Word(wanted));
    double value = 0;
    const char* end = word.data() + word.size();
    const auto parsed = std::from_chars(word.data(), end, value);
    if (parsed.ec != std::errc() || value <= 0) {
      --next_;
      return Expected(wanted);
    }
    unit = std::string(parsed.ptr, end);
    return value;
  }

  Result<double> Share() {
    constexpr const char* kWanted = "a share from 1% to 100%";
    constexpr double kWhole = 100;
    std::string unit;
    BOOST_LEAF_AUTO(percent, NumberWith(kWanted, unit));
    if (unit != "%" || percent > kWhole) {
      --next_;
      return Expected(kWanted);
    }
    return percent / kWhole;
  }

  Result<Duration> Span() {
    constexpr const char* kWanted = "a time such as 30s or 10m";
    const std::map<std::string, double> unit_micros = {
        {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};
    std::string unit;
    BOOST_LEAF_AUTO(value, NumberWith(kWanted, unit));
    const auto micros = unit_micros.find(unit);
    if (micros == unit_micros.end()) {
      --next_;
      return Expected(kWanted);
    }
    return Duration(static_cast<Duration::rep>(value * micros->second));
  }

  boost::leaf::error_id Expected(const std::string& wanted) const {
    const std::string found =
        next_ < words_.size() ? "'" + words_[next_] + "'" : "nothing more";
    return Fail({ErrorCode::kInvalid, "read command", "operator",
                 "word " + std::to_string(next_ + 1) + ": expected " + wanted +
                     "; found " + found});
  }

  const ValidNames& names_;
  std::vector<std::string> words_;
  std::size_t next_ = 0;
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
