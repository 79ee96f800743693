#include <csignal>
#include <filesystem>
#include <string>
#include <system_error>

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>

#include "ServeProcess.h"

namespace jacinthroad {

namespace fs = std::filesystem;

BOOST_AUTO_TEST_SUITE(ServeUpgradeTest)

BOOST_AUTO_TEST_CASE(overwritingTheFilesOfARunningProgramEndsNoProcess)
{
    const fs::path original = JACINTHROAD_PROGRAM;
    const fs::path folder = original.parent_path() / "ServeUpgradeTest.files";
    fs::remove_all(folder);
    fs::create_directory(folder);
    for (const fs::directory_entry &file : fs::directory_iterator(original.parent_path())) {
        if (file.path().stem().string().starts_with("jacinthroad")) {
            fs::copy_file(file.path(), folder / file.path().filename());
        }
    }
    {
        ServeProcess process({ .program = folder / original.filename() });
        BOOST_REQUIRE(process.waitForOutput("\"serving\""));
        for (const fs::directory_entry &file : fs::directory_iterator(folder)) {
            // Refused for the executable of a process.
            std::error_code refused;
            fs::copy_file(original.parent_path() / file.path().filename(), file.path(),
                          fs::copy_options::overwrite_existing, refused);
        }
        process.signal(SIGTERM);
        const int status = process.waitForEnd();
        BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 0), "status " << status);
    }
    fs::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
