// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/command.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

ValidNames TestNames() {
  return {{"booking"}, {"north", "south"}, {"core-1"}};
}

std::string ParseErrorOf(const std::string& text) {
  const ValidNames names = TestNames();
  return TryOr(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseCommand(names, text));
        return std::string();
      },
      [](const Error& error) { return error.detail; });
}

Test(command, shift_is_parsed_with_cap_and_ramp_time) {
  const ValidNames names = TestNames();
  const auto command =
      ParseCommand(names, "shift booking from north to south cap 30% over 10m");
  cr_assert(command.has_value());
  const auto& change = std::get<ChangeCommand>(command.value());
  const ShiftPlan& plan = std::get<StartShift>(change.operation).plan;
  cr_assert_float_eq(plan.cap, 0.3, 1e-9);
  cr_assert_eq(plan.ramp_time.count(), 600'000'000);
  cr_assert_str_eq(plan.to_region.c_str(), "south");
}

Test(command, commands_listed_by_help_are_parsed) {
  for (const char* text :
       {"where booking from 10.0.0.1", "why 5f3a-1c", "show hosts",
        "show config", "drain upstream core-1", "undrain region north",
        "stop shift booking from north", "assign 10.1.0.0/16 to south",
        "roll back booking", "rollouts", "rollout booking",
        "hold rollout booking", "resume rollout booking", "help"}) {
    cr_assert_eq(ParseErrorOf(text).size(), 0U, "%s: %s", text,
                 ParseErrorOf(text).c_str());
  }
}

Test(command, error_gives_the_word_and_what_was_expected) {
  cr_assert_neq(ParseErrorOf("drain upstream nobody")
                    .find("word 3: expected the name of an upstream; found "
                          "'nobody'"),
                std::string::npos);
  cr_assert_neq(ParseErrorOf("shift booking from north to north cap 10%")
                    .find("another region"),
                std::string::npos);
  cr_assert_neq(ParseErrorOf("shift booking from north to south cap 300%")
                    .find("expected a share"),
                std::string::npos);
  cr_assert_neq(ParseErrorOf("show hosts now").find("the end of the command"),
                std::string::npos);
  cr_assert_neq(ParseErrorOf("").find("found nothing more"), std::string::npos);
}

// Guards against a share that is no number and is therefore never reached, and
// against a time beyond what a duration can hold.
Test(command, numbers_out_of_range_are_rejected) {
  const std::string shift = "shift booking from north to south cap ";
  for (const std::string bad :
       {"nan%", "inf%", "-5%", "0%", "1e999%", "100.1%", "30% over nans",
        "30% over infh", "30% over 1e300h", "30% over 8761h", "30% over 0s"}) {
    cr_assert_neq(ParseErrorOf(shift + bad).find("expected a"),
                  std::string::npos, "%s", bad.c_str());
  }
  cr_assert_eq(ParseErrorOf(shift + "100% over 8760h"), "");
}

Test(command, any_words_give_a_command_or_an_error) {
  cr_assert(Holds("any words give a command or a fault", [] {
    const auto words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("shift", "booking", "from", "north", "to",
                                      "south", "cap", "30%", "over", "10m",
                                      "drain", "upstream", "core-1", "-", "%",
                                      "9999999999999999999%", "nan%", "infm",
                                      "1e300h", "assign", "10.0.0.0/33"));
    std::string text;
    for (const std::string& word : words) {
      text += word + " ";
    }
    ParseErrorOf(text);
  }));
}

}  // namespace
}  // namespace pathcleat
