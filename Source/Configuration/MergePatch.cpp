#include "Configuration/MergePatch.h"

namespace jacinthroad {

Json::Value applyMergePatch(const Json::Value &target, const Json::Value &patch)
{
    if (!patch.isObject()) {
        return patch;
    }
    Json::Value result = target.isObject() ? target : Json::Value(Json::objectValue);
    for (const std::string &name : patch.getMemberNames()) {
        if (patch[name].isNull()) {
            result.removeMember(name);
        } else {
            result[name] = applyMergePatch(result[name], patch[name]);
        }
    }
    return result;
}

Json::Value makeMergePatch(const Json::Value &from, const Json::Value &to)
{
    if (!from.isObject() || !to.isObject()) {
        return to;
    }
    Json::Value patch(Json::objectValue);
    for (const std::string &name : from.getMemberNames()) {
        if (!to.isMember(name)) {
            patch[name] = Json::Value();
        }
    }
    for (const std::string &name : to.getMemberNames()) {
        if (!from.isMember(name)) {
            patch[name] = to[name];
        } else if (from[name] != to[name]) {
            patch[name] = makeMergePatch(from[name], to[name]);
        }
    }
    return patch;
}

std::vector<std::string> changedObjects(const Json::Value &patch)
{
    std::vector<std::string> result;
    if (!patch.isObject()) {
        return result;
    }
    for (const std::string &section : patch.getMemberNames()) {
        if (!patch[section].isObject()) {
            result.push_back(section);
            continue;
        }
        for (const std::string &name : patch[section].getMemberNames()) {
            result.push_back(section);
            result.back().append(".").append(name);
        }
    }
    return result;
}

} // namespace jacinthroad
