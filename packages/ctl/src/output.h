#ifndef BILBERRY_CTL_OUTPUT_H
#define BILBERRY_CTL_OUTPUT_H

#include "bilberry/model/releasenote.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace bilberry::ctl {

/// A table for people.
struct Table
{
    std::vector<std::string> head;
    std::vector<std::vector<std::string>> rows;
};

/// Prints a table with aligned columns to standard output.
void print(const Table &table);

/// Prints JSON and a line feed to standard output.
void print(const boost::json::value &value);

/// Prints an error of the whole command to standard error.
void printError(const std::string &action, const std::error_code &error);

boost::json::array toJson(const std::vector<PlannedChange> &changes);
void print(const std::vector<PlannedChange> &changes);

/// Prints the faults of a note; as JSON to standard output, else to standard error.
void printFaults(bool json, const std::string &file, const std::vector<ReleaseNoteFault> &faults);

/// @return a number without trailing zeros
std::string numberText(double value);

} // namespace bilberry::ctl

#endif
