#pragma once

#include <string>

#include <boost/program_options.hpp>
#include <json/value.h>

#include "Core/Error.h"

namespace jacinthroad {

/// Adds `--node` and `--key`, by which a subcommand reaches a node's operator interface.
void addOperatorOptions(boost::program_options::options_description &options);

/// Calls a procedure of a node's operator interface and waits for its answer.
[[nodiscard]] Result<Json::Value>
callOperator(const boost::program_options::variables_map &values, const std::string &method,
             const Json::Value &parameters = Json::Value(Json::objectValue));

/// Calls a procedure at a node's base URL instead of the one that `--node` names.
[[nodiscard]] Result<Json::Value>
callOperatorAt(const std::string &url, const boost::program_options::variables_map &values,
               const std::string &method,
               const Json::Value &parameters = Json::Value(Json::objectValue));

} // namespace jacinthroad
