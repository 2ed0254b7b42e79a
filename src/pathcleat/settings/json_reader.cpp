// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "json_reader.hpp"

#include <cmath>
#include <sstream>
#include <utility>

namespace pathcleat {
namespace {

std::string DescribeRange(const Bounds& bounds) {
  std::ostringstream text;
  text << "expected a number from " << bounds.low << " to " << bounds.high;
  return text.str();
}

}  // namespace

JsonReader::JsonReader(const JsonFile& file,
                       const nlohmann::json& object,
                       std::string pointer,
                       std::vector<SettingsFault>& faults)
    : file_(file),
      object_(object),
      pointer_(std::move(pointer)),
      faults_(faults) {}

const nlohmann::json* JsonReader::Find(const std::string& key, bool required) {
  read_keys_.insert(key);
  const auto found = object_.find(key);
  if (found != object_.end()) {
    return &*found;
  }
  if (required) {
    AddFault(key, "missing");
  }
  return nullptr;
}

std::string JsonReader::Text(const std::string& key) {
  const nlohmann::json* value = Find(key, true);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string() || value->get<std::string>().empty()) {
    AddFault(key,
             "expected a string that is not empty; found " + value->dump());
    return "";
  }
  return value->get<std::string>();
}

std::string JsonReader::TextOr(const std::string& key, std::string fallback) {
  return Find(key, false) == nullptr ? std::move(fallback) : Text(key);
}

double JsonReader::Number(const std::string& key, Bounds bounds) {
  const nlohmann::json* value = Find(key, true);
  if (value == nullptr) {
    return bounds.low;
  }
  if (!value->is_number() || value->get<double>() < bounds.low ||
      value->get<double>() > bounds.high) {
    AddFault(key, DescribeRange(bounds) + "; found " + value->dump());
    return bounds.low;
  }
  return value->get<double>();
}

double JsonReader::NumberOr(const std::string& key,
                            Bounds bounds,
                            double fallback) {
  return Find(key, false) == nullptr ? fallback : Number(key, bounds);
}

int JsonReader::IntegerOr(const std::string& key, Bounds bounds, int fallback) {
  const double value = NumberOr(key, bounds, fallback);
  if (value != std::floor(value)) {
    AddFault(key, "expected a whole number");
  }
  return static_cast<int>(value);
}

std::uint16_t JsonReader::Port(const std::string& key) {
  constexpr Bounds kPorts{1, 65'535};
  return static_cast<std::uint16_t>(Number(key, kPorts));
}

bool JsonReader::Flag(const std::string& key) {
  const nlohmann::json* value = Find(key, true);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    AddFault(key, "expected true or false; found " + value->dump());
    return false;
  }
  return value->get<bool>();
}

std::vector<std::string> JsonReader::TextList(const std::string& key) {
  const nlohmann::json* value = Find(key, true);
  std::vector<std::string> texts;
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    AddFault(key, "expected a list of strings; found " + value->dump());
    return texts;
  }
  for (const auto& item : *value) {
    if (item.is_string()) {
      texts.push_back(item.get<std::string>());
    } else {
      AddFault(key, "expected a string in the list; found " + item.dump());
    }
  }
  return texts;
}

void JsonReader::ForEachObject(const std::string& key,
                               bool required,
                               const std::function<void(JsonReader&)>& visit) {
  const nlohmann::json* value = Find(key, required);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    AddFault(key, "expected a list of objects");
    return;
  }
  std::size_t index = 0;
  for (const auto& item : *value) {
    const std::string name = key + "/" + std::to_string(index++);
    if (!item.is_object()) {
      AddFault(name, "expected an object; found " + item.dump());
      continue;
    }
    JsonReader reader(file_, item, pointer_ + "/" + name, faults_);
    visit(reader);
    reader.CheckUnknownKeys();
  }
}

void JsonReader::ReadNested(const std::string& key,
                            const std::function<void(JsonReader&)>& visit) {
  const nlohmann::json* value = Find(key, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    AddFault(key, "expected an object; found " + value->dump());
    return;
  }
  JsonReader reader(file_, *value, pointer_ + "/" + key, faults_);
  visit(reader);
  reader.CheckUnknownKeys();
}

void JsonReader::AddFault(const std::string& key, const std::string& text) {
  const std::string pointer = pointer_ + "/" + key;
  int line = file_.LineOf(pointer);
  if (line == 0) {
    line = file_.LineOf(pointer_);
  }
  faults_.push_back({file_.path, line, pointer, text});
}

void JsonReader::CheckUnknownKeys() {
  for (const auto& [key, value] : object_.items()) {
    if (!read_keys_.contains(key)) {
      AddFault(key, "unknown key");
    }
  }
}

}  // namespace pathcleat
