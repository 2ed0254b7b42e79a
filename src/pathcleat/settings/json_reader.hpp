// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "json_file.hpp"

namespace pathcleat {

/// @brief Inclusive bounds of a number.
struct Bounds {
  double low;
  double high;
};

/// @brief Reads one JSON object and checks its values. Each fault has the file,
/// line and key. CheckUnknownKeys reports the keys that were never read.
class JsonReader {
 public:
  JsonReader(const JsonFile& file,
             const nlohmann::json& object,
             std::string pointer,
             std::vector<SettingsFault>& faults);

  std::string Text(const std::string& key);
  std::string TextOr(const std::string& key, std::string fallback);
  double Number(const std::string& key, Bounds bounds);
  double NumberOr(const std::string& key, Bounds bounds, double fallback);
  int IntegerOr(const std::string& key, Bounds bounds, int fallback);
  std::uint16_t Port(const std::string& key);
  bool Flag(const std::string& key);
  std::vector<std::string> TextList(const std::string& key);

  /// @brief Calls visit with a reader for each object in a list.
  void ForEachObject(const std::string& key,
                     bool required,
                     const std::function<void(JsonReader&)>& visit);

  /// @brief Calls visit with a reader for a nested object, if the key exists.
  void ReadNested(const std::string& key,
                  const std::function<void(JsonReader&)>& visit);

  /// @brief Reads one of the named choices. Any other text is a fault, and the
  /// first choice is returned.
  template <class T>
  T Choice(const std::string& key, const std::map<std::string, T>& choices) {
    const std::string text = Text(key);
    const auto found = choices.find(text);
    if (found != choices.end()) {
      return found->second;
    }
    if (!text.empty()) {
      std::string names;
      for (const auto& [name, value] : choices) {
        names += (names.empty() ? "" : ", ") + name;
      }
      AddFault(key, "expected one of " + names + "; found '" + text + "'");
    }
    return choices.begin()->second;
  }

  void AddFault(const std::string& key, const std::string& text);
  void CheckUnknownKeys();

 private:
  const nlohmann::json* Find(const std::string& key, bool required);

  const JsonFile& file_;
  const nlohmann::json& object_;
  std::string pointer_;
  std::vector<SettingsFault>& faults_;
  std::set<std::string> read_keys_;
};

}  // namespace pathcleat
