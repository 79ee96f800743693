execute_process(COMMAND ${PROGRAM} ${ARGUMENTS}
  WORKING_DIRECTORY ${FOLDER}
  RESULT_VARIABLE result OUTPUT_VARIABLE stdout ERROR_VARIABLE stderr TIMEOUT 100)

set(expected 0)
if(EXISTS ${FOLDER}/${CASE}-result.txt)
  file(READ ${FOLDER}/${CASE}-result.txt expected)
  string(STRIP "${expected}" expected)
endif()
if(NOT result STREQUAL expected)
  message(FATAL_ERROR "${CASE}: exit code ${result}, expected ${expected}\n${stdout}${stderr}")
endif()

foreach(stream stdout stderr)
  if(EXISTS ${FOLDER}/${CASE}-${stream}.txt)
    file(READ ${FOLDER}/${CASE}-${stream}.txt pattern)
    string(STRIP "${pattern}" pattern)
    string(STRIP "${${stream}}" actual)
    if(NOT actual MATCHES "^${pattern}$")
      message(FATAL_ERROR "${CASE}: ${stream} was\n${actual}\nexpected\n${pattern}")
    endif()
  endif()
endforeach()

# The settings reference pages in the documentation must equal the program's output.
set(SettingsReference-page settings-file)
set(GatewayReference-page gateway-settings)
if(DEFINED ${CASE}-page)
  set(page ${SOURCE_FOLDER}/docs/reference/${${CASE}-page}.md)
  file(READ ${page} expected)
  if(NOT stdout STREQUAL expected)
    message(FATAL_ERROR "${page} differs from the program's output")
  endif()
endif()
