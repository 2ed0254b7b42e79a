// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/command.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

ValidNames SmallNames() {
  return {{"booking"}, {"north", "south"}, {"core-1"}};
}

std::string FaultOf(const std::string& text) {
  const ValidNames names = SmallNames();
  return TryOr(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseCommand(names, text));
        return std::string();
      },
      [](const Error& error) { return error.detail; });
}

Test(command, shift_is_read_with_cap_and_time) {
  const ValidNames names = SmallNames();
  const auto command =
      ParseCommand(names, "shift booking from north to south cap 30% over 10m");
  cr_assert(command.has_value());
  const auto& change = std::get<ChangeCommand>(command.value());
  const ShiftPlan& plan = std::get<StartShift>(change.operation).plan;
  cr_assert_float_eq(plan.cap, 0.3, 1e-9);
  cr_assert_eq(plan.ramp_time.count(), 600'000'000);
  cr_assert_str_eq(plan.to_region.c_str(), "south");
}

Test(command, every_line_of_the_help_can_be_said) {
  for (const char* text :
       {"where booking from 10.0.0.1", "why 5f3a-1c", "show hosts",
        "show config", "drain upstream core-1", "undrain region north",
        "stop shift booking from north", "assign 10.1.0.0/16 to south",
        "help"}) {
    cr_assert_eq(FaultOf(text).size(), 0U, "%s: %s", text,
                 FaultOf(text).c_str());
  }
}

Test(command, fault_names_the_word_and_what_was_expected) {
  cr_assert_neq(FaultOf("drain upstream nobody")
                    .find("word 3: expected the name of an upstream; found "
                          "'nobody'"),
                std::string::npos);
  cr_assert_neq(FaultOf("shift booking from north to north cap 10%")
                    .find("another region"),
                std::string::npos);
  cr_assert_neq(FaultOf("shift booking from north to south cap 300%")
                    .find("expected a share"),
                std::string::npos);
  cr_assert_neq(FaultOf("show hosts now").find("the end of the command"),
                std::string::npos);
  cr_assert_neq(FaultOf("").find("found nothing more"), std::string::npos);
}

Test(command, no_text_breaks_the_parser) {
  cr_assert(Holds("any words give a command or a fault", [] {
    const auto words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("shift", "booking", "from", "north", "to",
                                      "south", "cap", "30%", "over", "10m",
                                      "drain", "upstream", "core-1", "-", "%",
                                      "9999999999999999999%"));
    std::string text;
    for (const std::string& word : words) {
      text += word + " ";
    }
    FaultOf(text);
  }));
}

}  // namespace
}  // namespace pathcleat
